package policy

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// FuzzPublication folds arbitrary records. An accepted publication must survive encoding in a
// snapshot; otherwise the document of one operator could make all later snapshots unreadable.
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
		s := base.current().Apply(e)
		if needsNewerRules(e) {
			must.Eq(t, base.current(), s)
			return
		}
		must.Eq(t, 2, s.Version())
		must.GreaterEq(t, 1, s.TemplateVersion("strict"))
		decoded, err := UnmarshalState([]byte(mustMarshal(t, s)))
		must.NoError(t, err)
		must.Eq(t, mustMarshal(t, s), mustMarshal(t, decoded))
		must.Eq(t, s.effective, decoded.effective)
	})
}

// FuzzTemplate decodes arbitrary templates; a valid one must resolve with its defaults.
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

// FuzzInstance decodes arbitrary instances and resolves them under a ready-made template. In a
// resolved behaviour every field must be within its bounds.
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
			fields[i].parse(&errs, fields[i].Name, fields[i].format(e))
			must.Nil(t, errs)
		}
	})
}

// FuzzState decodes arbitrary snapshots; an accepted state must encode to the same bytes again.
func FuzzState(f *testing.F) {
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "2")}))
	f.Add([]byte(mustMarshal(f, h.current())))
	f.Add([]byte(`{"format":1,"version":3,"templates":[{"revisions":[]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := UnmarshalState(data)
		if err != nil {
			return
		}
		decoded, err := UnmarshalState([]byte(mustMarshal(t, s)))
		must.NoError(t, err)
		must.Eq(t, mustMarshal(t, s), mustMarshal(t, decoded))
	})
}
