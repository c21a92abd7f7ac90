package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const minimalDoc = `{
  "node_id": "kurume-letters-1", "region": "kyushu", "zone": "kurume",
  "callers": {"address": "0.0.0.0:7100"},
  "upstream": {"address": "127.0.0.1:7101"},
  "inner": {"address": "0.0.0.0:7102", "advertised": "10.40.1.12:7102"},
  "admin": {"address": "127.0.0.1:7103"},
  "log": {"url": "http://10.40.0.10:7000"}
}`

// Guards against defaults that are lost when a settings file omits the fields.
func TestMinimalFileGetsDefaults(t *testing.T) {
	n, err := Parse([]byte(minimalDoc))
	must.NoError(t, err)
	want := Defaults()
	must.Eq(t, want.Timing, n.Timing)
	must.Eq(t, want.Limits, n.Limits)
	must.Eq(t, want.Logging, n.Logging)
	must.Eq(t, 2*time.Second, n.Log.AppendTimeout.Std())
}

// Guards against an empty advertised address, which other nodes could not reach.
func TestAdvertisedDefaultsToInner(t *testing.T) {
	doc := strings.Replace(minimalDoc, `"0.0.0.0:7102", "advertised": "10.40.1.12:7102"`, `"10.40.1.12:7102"`, 1)
	n, err := Parse([]byte(doc))
	must.NoError(t, err)
	must.Eq(t, "10.40.1.12:7102", n.Inner.Advertised)
}

// Guards against errors that an operator cannot act on after a typing mistake. The error must name
// the field, the value found and the allowed values.
func TestErrorsNameFieldValueAndBound(t *testing.T) {
	cases := []struct{ from, to, want string }{
		{`"zone"`, `"Zone"`, `Zone is unknown, must be one of node_id, region, zone`},
		{`"url"`, `"uri"`, `log.uri is unknown, must be one of url`},
		{`"region": "kyushu"`, `"region": "kyushu", "region": "b"`, `region is given twice`},
		{`"region": "kyushu"`, `"region": 4`, `region is 4, must be a string`},
		{`"region": "kyushu"`, `"region": null`, `region is null, must be a string`},
		{`"region": "kyushu"`, `"region": {}`, `region is an object, must be a string`},
		{`"kyushu"`, `"Kyu shu"`, `region is "Kyu shu", must be 1 to 64 of a-z`},
		{`"127.0.0.1:7101"`, `"10.0.0.1:7101"`, `upstream.address is "10.0.0.1:7101", must be a loopback`},
		{`"10.40.1.12:7102"`, `"0.0.0.0:7102"`, `inner.advertised is "0.0.0.0:7102"`},
		{`"10.40.1.12:7102"`, `"node-1:7102"`, `inner.advertised is "node-1:7102", must be IP:port`},
		{`"127.0.0.1:7103"`, `"0.0.0.0:7102"`, `admin.address is "0.0.0.0:7102", must be other than inner.address`},
		{`"http://10.40.0.10:7000"`, `"ftp://x"`, `log.url is "ftp://x", must be an http or https URL`},
		{`"url"`, `"read_wait": 250, "url"`, `log.read_wait is 250, must be a string with a unit`},
		{`"url"`, `"read_wait": "250", "url"`, `log.read_wait is "250", must be a string with a unit`},
		{`"url"`, `"read_wait": "0", "url"`, `log.read_wait is "0", must be a string with a unit`},
		{`"url"`, `"read_wait": "1ms", "url"`, `log.read_wait is 1ms, must be between 10ms and 1m0s`},
		{`"node_id"`, `"timing": {"exchange": "9s"}, "node_id"`, `timing.exchange is 9s, must be at most timing.authority, which is 3s`},
		{`"node_id"`, `"limits": {"queue": -1}, "node_id"`, `limits.queue is -1, must be between 0 and 1048576`},
		{`"node_id"`, `"limits": {"queue": 1.5}, "node_id"`, `limits.queue is 1.5, must be a whole number`},
		{`"node_id"`, `"limits": {"body_bytes": 67108865}, "node_id"`, `limits.body_bytes is 67108865, must be at most limits.held_bytes`},
		{`"node_id"`, `"logging": {"level": "loud"}, "node_id"`, `logging.level is "loud", must be one of debug`},
		{`"node_id"`, `"seed_peers": ["10.0.0.1"], "node_id"`, `seed_peers[0] is "10.0.0.1", must be IP:port`},
		{`"node_id"`, `"tokens": [{"sha256": "AB"}], "node_id"`, `tokens[0].sha256 is "AB", must be 64 lower-case`},
		{`"0.0.0.0:7100"`, `"0.0.0.0:7100", "tls": {"cert_file": "c"}`, `callers.tls.key_file is empty`},
	}
	for _, c := range cases {
		doc := strings.Replace(minimalDoc, c.from, c.to, 1)
		_, err := Parse([]byte(doc))
		must.ErrorContains(t, err, c.want, must.Sprintf("%s", c.to))
		var fe *FieldError
		must.ErrorAs[*FieldError](t, err, &fe)
	}
}

// Guards against silently ignoring data after the JSON document.
func TestDataAfterTheDocumentIsRefused(t *testing.T) {
	_, err := Parse([]byte(minimalDoc + "{}"))
	must.ErrorContains(t, err, "data after the document")
}

// Guards against two entries for one token, whose roles and workspaces may differ.
func TestTokenMustBeListedOnce(t *testing.T) {
	sum := strings.Repeat("ab", 32)
	token := `{"sha256":"` + sum + `","name":"x","role":"viewer","workspaces":["*"]}`
	doc := strings.Replace(minimalDoc, `"node_id"`, `"tokens":[`+token+`,`+token+`],"node_id"`, 1)
	_, err := Parse([]byte(doc))
	must.ErrorContains(t, err, "tokens[1].sha256")
}

// Guards against example files that are not valid settings.
func TestExampleFilesParse(t *testing.T) {
	for _, dir := range []string{"chikugo", "yardstick", "by-hand"} {
		paths, err := filepath.Glob(filepath.Join("../../examples", dir, "node-*.json"))
		must.NoError(t, err)
		must.SliceNotEmpty(t, paths)
		for _, p := range paths {
			_, err := Load(p)
			must.NoError(t, err)
		}
	}
}

// FuzzParse checks that accepted settings are valid and survive a JSON round trip unchanged.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalDoc))
	sample, err := os.ReadFile("../../examples/chikugo/node-letters-saga.json")
	must.NoError(f, err)
	f.Add(sample)
	f.Add([]byte(`{"tokens":[{"role":null}]}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		n, err := Parse(doc)
		if err != nil {
			return
		}
		must.NoError(t, n.Validate())
		out, err := json.Marshal(n)
		must.NoError(t, err)
		reparsed, err := Parse(out)
		must.NoError(t, err)
		must.Eq(t, n, reparsed)
	})
}
