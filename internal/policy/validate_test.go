package policy

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// libraryState returns a state with the ready-made templates.
func libraryState(t testing.TB) *State {
	h := newHistory()
	for _, tpl := range Library() {
		must.NoError(t, tpl.Validate())
		h.append(record(&Publication{ID: "lib-" + tpl.Name, Author: "ito", Template: &tpl}))
		d, _ := h.current().Decision("lib-" + tpl.Name)
		must.NoError(t, d.Err())
	}
	return h.current()
}

// Guards against committed example instances that are rejected when an operator publishes them
// after the ready-made templates.
func TestExamplesAreAccepted(t *testing.T) {
	for workspace, services := range map[string]int{"chikugo": 4, "yardstick": 4} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", workspace, "instances.json"))
		must.NoError(t, err)
		list, err := DecodeInstances(data)
		must.NoError(t, err)
		s := libraryState(t)
		for i := range list {
			p := &Publication{ID: list[i].Service, Author: "ito", Instance: &list[i]}
			s = s.Apply(logstore.Entry{Offset: int64(s.Version()), Record: record(p)})
			d, _ := s.Decision(p.ID)
			must.NoError(t, d.Err())
			e, ok := s.Lookup(workspace, list[i].Service)
			must.True(t, ok)
			must.True(t, e.KeyRequired && e.Idempotent("GET") && !e.Idempotent("POST"))
		}
		must.Len(t, services, s.Instances())
	}
}

// Guards against an invalid document that is accepted, or whose error lacks the field, the value
// or the bound.
func TestErrorsNameFieldValueAndBound(t *testing.T) {
	strict := Library()[0]
	valid := func() *Template {
		return &Template{Name: "a", Revision: 1, Behaviour: Behaviour{MaxDepth: "$d"},
			Parameters: []Parameter{{Name: "d", Type: TypeInt, Unit: "calls", Default: "3", Min: "2", Max: "5"}}}
	}
	must.NoError(t, valid().Validate())
	values := func(kv ...string) func() error {
		return func() error {
			i := &Instance{Workspace: "w", Service: "s", Template: "strict", Revision: 1, Values: map[string]string{}}
			for j := 0; j < len(kv); j += 2 {
				i.Values[kv[j]] = kv[j+1]
			}
			_, err := Resolve(&strict, i)
			return err
		}
	}
	template := func(change func(*Template)) func() error {
		return func() error {
			tpl := valid()
			change(tpl)
			return tpl.Validate()
		}
	}
	decode := func(doc string) func() error {
		return func() error { _, err := DecodePublication([]byte(doc)); return err }
	}
	cases := []struct {
		err  func() error
		want string
	}{
		{values("retry_allowance", "5"), `instance.values.retry_allowance is "5", must be at most 4`},
		{values("retry_allowance", "-1"), `must be at least 0`},
		{values("retry_allowance", "two"), `is "two", must be a whole number`},
		{values("default_timeout", "20"), `is "20", must be a duration with its unit`},
		{values("default_timeout", "2m"), `default_timeout is "2m0s", must be at most max_timeout 1m0s`},
		{values("resend_horizon", "10s"), `resend_horizon is "10s", must be at least max_timeout 1m0s`},
		{values("allowance", "1"), `instance.values.allowance is "1", must be absent: strict/1 has no such parameter`},
		{template(func(t *Template) { t.Name = "A b" }), `template.name is "A b"`},
		{template(func(t *Template) { t.Revision = 0 }), `template.revision is "0", must be at least 1`},
		{template(func(t *Template) { t.Behaviour.MaxDepth = "$x" }), `template.behaviour.max_depth is "$x", must be a declared parameter`},
		{template(func(t *Template) { t.Behaviour.MaxDepth = "3" }), `template.parameters[0].name is "d", must be used`},
		{template(func(t *Template) { t.Behaviour.AtMostOnce = "never" }), `at_most_once is "never", must be one of claims, ownership`},
		{template(func(t *Template) { t.Behaviour.RetryRatio = "NaN" }), `retry_ratio is "NaN", must be a number`},
		{template(func(t *Template) { t.Behaviour.WorthLow = "9" }), `worth_low is "9", must be at most worth_normal 2`},
		{template(func(t *Template) { t.Behaviour.MaxWait = "$d" }), `must be a parameter of type duration, not int`},
		{template(func(t *Template) { t.Parameters[0].Unit = "retries" }), `must be a parameter with unit "calls", not "retries"`},
		{template(func(t *Template) { t.Parameters[0].Default = "9" }), `parameters[0].default is "9", must be at most 5`},
		{template(func(t *Template) { t.Parameters[0].Min = "x" }), `parameters[0].min is "x", must be a whole number`},
		{template(func(t *Template) { t.Parameters[0].Type = "text" }), `type is "text", must be one of int`},
		{template(func(t *Template) { t.Parameters[0].Default, t.Parameters[0].Max = "33", "99" }), `is "33", must be at most 32`},
		{decode(`{"id":"a","instance":{"values":{},"colour":1}}`), `colour is "set", must be absent: unknown field`},
		{decode(`{"id":"a"}`), `must be one of template and instance`},
		{decode(`{"id":"a","based":"x"}`), `based is "string", must be a JSON int64`},
		{decode(`{} {}`), `trailing data`},
	}
	for _, c := range cases {
		err := c.err()
		must.Error(t, err)
		must.StrContains(t, err.Error(), c.want)
	}
}

// Guards against a behaviour field that is missing from the table: it would be accepted and have
// no effect, and would not appear in a diff.
func TestEveryBehaviourFieldIsInTheTable(t *testing.T) {
	all := map[string]string{}
	for _, f := range Fields() {
		all[f.Name] = f.Default
	}
	doc, err := json.Marshal(all)
	must.NoError(t, err)
	var b Behaviour
	must.Nil(t, decodeStrict(doc, &b))
	encodedBehaviour, err := json.Marshal(b)
	must.NoError(t, err)
	must.EqJSON(t, string(doc), string(encodedBehaviour))
	tpl := &Template{Name: "a", Revision: 1, Behaviour: b}
	given, err := Resolve(tpl, &Instance{Workspace: "w", Service: "s"})
	must.NoError(t, err)
	defaults, err := Resolve(&Template{Name: "a", Revision: 1}, &Instance{Workspace: "w", Service: "s"})
	must.NoError(t, err)
	must.Eq(t, defaults, given)
	must.Len(t, len(Fields()), Diff(nil, given))
}

// Guards against a check before publication that misses a change or records a decision.
func TestCheckShowsTheDiff(t *testing.T) {
	s := libraryState(t)
	inst := &Instance{Workspace: "w", Service: "s", Template: "balanced", Revision: 1}
	s = s.Apply(logstore.Entry{Offset: int64(s.Version()), Record: record(&Publication{ID: "a", Author: "ito", Instance: inst})})
	next := *inst
	next.Values = map[string]string{"queue_limit": "10"}
	next.Template = "strict"
	p := &Publication{ID: "b", Author: "ito", BaseVersion: s.InstanceVersion("w", "s"), Instance: &next}
	d, changes := s.Check(p)
	must.Eq(t, Accepted, d.Outcome)
	must.Eq(t, Change{"template", "balanced/1", "strict/1"}, changes[0])
	must.SliceContains(t, changes, Change{"queue_limit", "64", "10"})
	must.SliceContains(t, changes, Change{"retry_allowance", "2", "1"})
	_, ok := s.Decision("b")
	must.False(t, ok)
	p.BaseVersion--
	d, _ = s.Check(p)
	must.Eq(t, Conflicted, d.Outcome)
}

// Guards against a dropped template revision that an instance still uses, and against unused
// revisions that are kept. The template gets many revisions while one instance stays on an early
// one.
func TestRevisionInUseIsKept(t *testing.T) {
	h := newHistory()
	h.append(record(&Publication{ID: "t1", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	h.append(record(&Publication{ID: "i", Author: "ito", Instance: testInstance("letters", "strict", 1, "1")}))
	for r := 2; r <= 9; r++ {
		h.append(record(&Publication{ID: "t" + string(rune('0'+r)), Author: "ito", BaseVersion: h.current().TemplateVersion("strict"), Template: testTemplate("strict", r, r)}))
	}
	_, used := h.current().Template("strict", 1)
	_, unused := h.current().Template("strict", 3)
	must.True(t, used && !unused)
	e, _ := h.current().Lookup("chikugo", "letters")
	must.Eq(t, 1, e.MaxDepth)
}

// Guards against a newest snapshot that expires because a wrong clock delays the next one: by its
// writer's clock, which is a day ahead here, the snapshot is not old enough for another day.
func TestSnapshotComesDueWithWrongClocks(t *testing.T) {
	rule := DefaultSnapshotRule(time.Hour)
	must.NoError(t, rule.Validate())
	h := newHistory()
	h.append(record(&Publication{ID: "t", Author: "ito", Template: testTemplate("strict", 1, 0)}))
	oldSnapshot, err := h.current().SnapshotRecord("s0", epoch)
	must.NoError(t, err)
	futureSnapshot, err := h.current().SnapshotRecord("s", epoch.Add(24*time.Hour))
	must.NoError(t, err)
	r := NewReplica(h.current())
	must.False(t, r.SnapshotDue(&rule, epoch, 0))
	must.True(t, r.SnapshotDue(&rule, epoch.Add(rule.Every), 0))
	h.append(futureSnapshot)
	h.append(oldSnapshot)
	h.catchUp(r)
	must.Eq(t, 1, r.State().Snapshot().Version)
	must.Eq(t, 1, r.State().Snapshot().Offset)
	must.False(t, r.SnapshotDue(&rule, epoch.Add(rule.Every), 0))
	must.True(t, r.SnapshotDue(&rule, epoch.Add(2*rule.Every), 0))
	for range 10 {
		h.append(logstore.Record{ID: "c", Kind: logstore.KindClaim})
	}
	h.oldest = 1
	startedReplica := NewReplica(h.current())
	must.True(t, startedReplica.SnapshotDue(&rule, epoch, h.oldest))
	laggingReplica := NewReplica(nil)
	h.catchUp(laggingReplica)
	must.False(t, laggingReplica.Behind())
	h.oldest = 12
	laggingReplica = NewReplica(nil)
	h.catchUp(laggingReplica)
	must.True(t, laggingReplica.Behind())
	must.False(t, laggingReplica.SnapshotDue(&rule, epoch.Add(time.Hour), h.oldest))
	rule.Every = time.Hour
	must.ErrorContains(t, rule.Validate(), `every is "1h0m0s", must be above 0 and at most a quarter of retention 1h0m0s`)
}
