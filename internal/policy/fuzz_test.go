package policy

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// FuzzPublication folds hostile records. Whatever is accepted must survive a
// snapshot; else one operator's document could keep every later snapshot from
// being read.
func FuzzPublication(f *testing.F) {
	for _, p := range []*Publication{
		{ID: "x", Author: "ito", BaseVersion: 1, Template: testTemplate("strict", 2, 7)},
		{ID: "x", Author: "ito", Instance: testInstance("letters", "strict", 1, "2")},
		{ID: "x", Author: "ito", Instance: testInstance("letters", "strict", 1, "9")},
	} {
		f.Add(string(p.kind()), []byte(record(p).Body))
	}
	f.Add("snapshot", []byte(`{"format":1,"version":1}`))
	base := newHistory()
	base.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		e := logstore.Entry{Offset: 1, Record: logstore.Record{ID: "x", Kind: logstore.Kind(kind), Body: body}}
		s := base.now().Apply(e)
		if needsNewerRules(e) {
			must.Eq(t, base.now(), s)
			return
		}
		must.Eq(t, 2, s.Version())
		must.GreaterEq(t, 1, s.TemplateVersion("strict"))
		again, err := UnmarshalState([]byte(mustMarshal(t, s)))
		must.NoError(t, err)
		must.Eq(t, mustMarshal(t, s), mustMarshal(t, again))
		must.Eq(t, s.effective, again.effective)
	})
}

// FuzzTemplate decodes templates; a valid one must resolve with its defaults.
func FuzzTemplate(f *testing.F) {
	for _, tpl := range Library() {
		data, err := json.Marshal(tpl)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"name":"a","revision":1,"behaviour":{"max_depth":"$x"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tpl, err := DecodeTemplate(data)
		if err != nil {
			must.NotEq(t, "", err.Error())
			return
		}
		_, err = Resolve(tpl, &Instance{Workspace: "w", Service: "s"})
		must.NoError(t, err)
	})
}

// FuzzInstance decodes instances and resolves them under a ready template;
// whatever passes is within the bounds of every field.
func FuzzInstance(f *testing.F) {
	balanced := Library()[1]
	f.Add([]byte(`{"workspace":"chikugo","service":"letters","template":"balanced","revision":1,"values":{"queue_limit":"5"}}`))
	f.Add([]byte(`{"workspace":"chikugo","service":"letters","template":"balanced","values":{"max_wait":"1e9h"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		inst, err := DecodeInstance(data)
		if err != nil {
			return
		}
		e, err := Resolve(&balanced, inst)
		if err != nil {
			return
		}
		for i := range fields {
			var errs FieldErrors
			fields[i].parse(&errs, fields[i].Name, fields[i].show(e))
			must.Nil(t, errs)
		}
	})
}

// FuzzState reads hostile snapshots; what is taken must come out the same.
func FuzzState(f *testing.F) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "2")}))
	f.Add([]byte(mustMarshal(f, h.now())))
	f.Add([]byte(`{"format":1,"version":3,"templates":[{"revisions":[]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := UnmarshalState(data)
		if err != nil {
			return
		}
		again, err := UnmarshalState([]byte(mustMarshal(t, s)))
		must.NoError(t, err)
		must.Eq(t, mustMarshal(t, s), mustMarshal(t, again))
	})
}
