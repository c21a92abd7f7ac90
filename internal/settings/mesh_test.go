package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const minimalMeshDoc = `{"node_id":"a","region":"r","zone":"z","service":"s","upstream_address":"10.0.0.1:80",
"listen":{"callers":"10.0.0.1:1","inner":"10.0.0.1:2","ready":"10.0.0.1:3","announce":"10.0.0.1:4"},
"store":{"address":"10.0.0.2:9"}}`

// Guards against defaults that are lost when a settings file omits the fields.
func TestMeshDefaults(t *testing.T) {
	m, err := ParseMesh([]byte(minimalMeshDoc))
	must.NoError(t, err)
	must.EqOp(t, 0.2, m.Retries.Ratio)
	must.EqOp(t, "6s", m.Stop.Grace.String())
}

// Guards against a rejected settings file whose error does not name the invalid field.
func TestMeshErrorsNameTheField(t *testing.T) {
	withField := func(extra string) string { return strings.Replace(minimalMeshDoc, `"node_id"`, extra+`,"node_id"`, 1) }
	for field, doc := range map[string]string{
		"zone":                  strings.Replace(minimalMeshDoc, `"z"`, `"Z Z"`, 1),
		"listen.inner":          strings.Replace(minimalMeshDoc, `"10.0.0.1:2"`, `"host:2"`, 1),
		"store.address":         strings.Replace(minimalMeshDoc, `"10.0.0.2:9"`, `""`, 1),
		"store.name":            strings.Replace(minimalMeshDoc, `"address":"10.0.0.2:9"`, `"address":"10.0.0.2:9","name":"A store"`, 1),
		"retries.ratio":         withField(`"retries":{"ratio":-0.5}`),
		"retries.window":        withField(`"retries":{"window":"10ms"}`),
		"quotas.window":         withField(`"quotas":{"window":"1ms"}`),
		"quotas.overage":        withField(`"quotas":{"overage":-1}`),
		"quotas.slack":          withField(`"quotas":{"slack":-1}`),
		"stop.grace":            withField(`"stop":{"grace":"1ms"}`),
		"resources.memory_mb":   withField(`"resources":{"memory_mb":1}`),
		"resources.descriptors": withField(`"resources":{"descriptors":"many"}`),
		"store.speed":           strings.Replace(minimalMeshDoc, `"address":"10.0.0.2:9"`, `"address":"10.0.0.2:9","speed":1`, 1),
	} {
		_, err := ParseMesh([]byte(doc))
		var fe *FieldError
		must.True(t, errors.As(err, &fe), must.Sprintf("%s: %v", field, err))
		must.StrContains(t, fe.Field+" "+fe.Error(), field)
	}
}

// Guards against calls that go to other zones without being asked for, and against a setting that is
// accepted and ignored.
func TestBalanceZonesIsOffUnlessSet(t *testing.T) {
	must.False(t, MeshDefaults().Balance.Zones)
	parse := func(section string) (*Mesh, error) {
		return ParseMesh([]byte(`{"node_id": "n", "region": "r", "zone": "z", "service": "s", "upstream_address": "127.0.0.1:1",
			"listen": {"callers": "127.0.0.1:2", "inner": "127.0.0.1:3", "ready": "127.0.0.1:4", "announce": "127.0.0.1:5"},
			"store": {"address": "127.0.0.1:6"}, "balance": ` + section + `}`))
	}
	m, err := parse(`{"zones": true}`)
	must.NoError(t, err)
	must.True(t, m.Balance.Zones)
	for _, wrong := range []string{`{"zones": "yes"}`, `{"zones": 1}`, `{"zone": true}`} {
		_, err := parse(wrong)
		must.Error(t, err, must.Sprint(wrong))
	}
}
