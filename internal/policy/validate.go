package policy

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Validate returns all fields of t that are out of bounds as FieldErrors. It checks the template
// itself and its instance with default values.
func (t *Template) Validate() error { return asError(t.check()) }

// Resolve returns the behaviour of inst under t, or FieldErrors.
func Resolve(t *Template, inst *Instance) (*Effective, error) {
	e, errs := resolve(t, inst)
	return e, asError(errs)
}

// asError returns nil for an empty list. A nil FieldErrors converted to error would not equal
// nil.
func asError(errs FieldErrors) error {
	if len(errs) == 0 {
		return nil
	}
	return errs
}

func (t *Template) check() FieldErrors {
	var errs FieldErrors
	checkName(&errs, "template.name", t.Name)
	if t.Revision < 1 {
		errs.add("template.revision", strconv.Itoa(t.Revision), "at least 1")
	}
	checkHelp(&errs, "template.help", t.Help)
	if len(t.Parameters) > MaxParameters {
		errs.add("template.parameters", fmt.Sprintf("%d entries", len(t.Parameters)), fmt.Sprintf("at most %d entries", MaxParameters))
		return errs
	}
	t.checkParameters(&errs)
	t.checkReferences(&errs)
	if len(errs) > 0 {
		return errs
	}
	_, errs = resolve(t, &Instance{Workspace: "w", Service: "s", Template: t.Name, Revision: t.Revision})
	return errs
}

func (t *Template) checkParameters(errs *FieldErrors) {
	seen := map[string]bool{}
	for i := range t.Parameters {
		p := &t.Parameters[i]
		path := fmt.Sprintf("template.parameters[%d]", i)
		checkName(errs, path+".name", p.Name)
		checkHelp(errs, path+".help", p.Help)
		if seen[p.Name] {
			errs.add(path+".name", p.Name, "unique in the template")
		}
		seen[p.Name] = true
		p.checkBounds(errs, path)
	}
}

func (p *Parameter) checkBounds(errs *FieldErrors, path string) {
	if !p.Type.known() {
		errs.add(path+".type", string(p.Type), "one of int, float, duration, bool")
		return
	}
	for _, b := range []struct{ name, text string }{{".min", p.Min}, {".max", p.Max}} {
		if b.text == "" {
			continue
		}
		if !p.Type.ordered() {
			errs.add(path+b.name, b.text, "empty for type "+string(p.Type))
		} else if _, ok := parseScalar(p.Type, b.text); !ok {
			errs.add(path+b.name, b.text, p.Type.formatHint())
		}
	}
	parseBounded(errs, path+".default", p.Type, p.Default, p.Min, p.Max)
}

// checkReferences checks that each "$name" in the behaviour refers to a parameter of the field's
// type and unit, and that every parameter is used.
func (t *Template) checkReferences(errs *FieldErrors) {
	used := map[string]bool{}
	for i := range fields {
		f := &fields[i]
		name, ok := reference(*f.value(&t.Behaviour))
		if !ok {
			continue
		}
		path := "template.behaviour." + f.Name
		p := t.parameter(name)
		switch {
		case p == nil:
			errs.add(path, "$"+name, "a declared parameter")
			continue
		case f.Type == "":
			errs.add(path, "$"+name, "a literal, "+f.choicesText())
		case p.Type != f.Type:
			errs.add(path, "$"+name, fmt.Sprintf("a parameter of type %s, not %s", f.Type, p.Type))
		case p.Unit != f.Unit:
			errs.add(path, "$"+name, fmt.Sprintf("a parameter with unit %q, not %q", f.Unit, p.Unit))
		}
		used[name] = true
	}
	for i := range t.Parameters {
		if !used[t.Parameters[i].Name] {
			errs.add(fmt.Sprintf("template.parameters[%d].name", i), t.Parameters[i].Name, "used by a field of the behaviour")
		}
	}
}

func (t *Template) parameter(name string) *Parameter {
	for i := range t.Parameters {
		if t.Parameters[i].Name == name {
			return &t.Parameters[i]
		}
	}
	return nil
}

// reference returns the name of the parameter that v refers to; false if v is a literal.
func reference(v Value) (string, bool) { return strings.CutPrefix(string(v), "$") }

// resolve instantiates t. It adds an error under the value of the instance if that sets one, and
// under the template's field otherwise.
func resolve(t *Template, inst *Instance) (*Effective, FieldErrors) {
	var errs FieldErrors
	checkName(&errs, "instance.workspace", inst.Workspace)
	checkName(&errs, "instance.service", inst.Service)
	for _, name := range slices.Sorted(maps.Keys(inst.Values)) {
		if t.parameter(name) == nil {
			errs.add("instance.values."+name, inst.Values[name], fmt.Sprintf("absent: %s/%d has no such parameter", t.Name, t.Revision))
		}
	}
	e := &Effective{Workspace: inst.Workspace, Service: inst.Service, Template: t.Name, Revision: t.Revision}
	for i := range fields {
		t.resolveField(&errs, &fields[i], inst, e)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	e.checkRelations(&errs)
	if len(errs) > 0 {
		return nil, errs
	}
	return e, nil
}

func (t *Template) resolveField(errs *FieldErrors, f *Field, inst *Instance, e *Effective) {
	path := "template.behaviour." + f.Name
	text := string(*f.value(&t.Behaviour))
	if text == "" {
		text = f.Default
	}
	if name, ok := reference(Value(text)); ok {
		p := t.parameter(name)
		if p == nil || p.Type != f.Type {
			errs.add(path, text, "a declared parameter of the field's type")
			return
		}
		path, text = "template.parameters."+name+".default", p.Default
		if v, set := inst.Values[name]; set {
			path, text = "instance.values."+name, v
		}
		if _, ok = parseBounded(errs, path, p.Type, text, p.Min, p.Max); !ok {
			return
		}
	}
	if s, ok := f.parse(errs, path, text); ok {
		f.set(e, s)
	}
}

// checkRelations checks the fields that bound each other.
func (e *Effective) checkRelations(errs *FieldErrors) {
	if e.DefaultTimeout > e.MaxTimeout {
		errs.add("default_timeout", e.DefaultTimeout.String(), "at most max_timeout "+e.MaxTimeout.String())
	}
	if e.MaxWait > e.MaxTimeout {
		errs.add("max_wait", e.MaxWait.String(), "at most max_timeout "+e.MaxTimeout.String())
	}
	if e.SojournTarget > e.SojournInterval {
		errs.add("sojourn_target", e.SojournTarget.String(), "at most sojourn_interval "+e.SojournInterval.String())
	}
	if e.ResendHorizon < e.MaxTimeout {
		errs.add("resend_horizon", e.ResendHorizon.String(), "at least max_timeout "+e.MaxTimeout.String())
	}
	for l := 1; l < len(e.Worth); l++ {
		if e.Worth[l] > e.Worth[l-1] {
			errs.add("worth_"+levelNames()[l], formatFloat(e.Worth[l]), "at most worth_"+levelNames()[l-1]+" "+formatFloat(e.Worth[l-1]))
		}
	}
}

// checkName accepts the characters that are valid in a header, a path and a log line.
func checkName(errs *FieldErrors, field, name string) {
	const bound = "1..64 of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit"
	ok := name != "" && len(name) <= MaxNameBytes
	for i := 0; ok && i < len(name); i++ {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		ok = alphanumeric || i > 0 && (c == '-' || c == '_' || c == '.')
	}
	if !ok {
		errs.add(field, clip(name), bound)
	}
}

func checkHelp(errs *FieldErrors, field, text string) {
	if len(text) > MaxHelpBytes {
		errs.add(field, clip(text), fmt.Sprintf("at most %d bytes", MaxHelpBytes))
	}
}

// clip bounds the length of untrusted text that is copied into errors and decisions.
func clip(text string) string {
	if len(text) <= MaxNameBytes {
		return text
	}
	return strings.ToValidUTF8(text[:MaxNameBytes], "") + "..."
}
