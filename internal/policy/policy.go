// Package policy decides what configuration is in force. Operators publish
// templates of overload behaviour and instances of them; the log orders the
// publications; a deterministic fold accepts or refuses each one. The package
// is pure: no I/O, no clock, no goroutines.
package policy

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Version of an object is the offset of the record that decided it plus one;
// 0 means that there is none. The version of a State is the offset up to which
// the log was folded. Both only grow.
type Version int64

// Type of a parameter.
type Type string

// Types of parameters.
const (
	TypeInt      Type = "int"
	TypeFloat    Type = "float"
	TypeDuration Type = "duration"
	TypeBool     Type = "bool"
)

// Parameter is a value that an instance of a template may set. Default, Min
// and Max are written as values are; an empty Min or Max means that the bound
// of the behaviour field that it feeds is the only one.
type Parameter struct {
	Name    string `json:"name"`
	Type    Type   `json:"type"`
	Unit    string `json:"unit,omitempty"`
	Default string `json:"default"`
	Min     string `json:"min,omitempty"`
	Max     string `json:"max,omitempty"`
	Help    string `json:"help,omitempty"`
}

// Template is a named behaviour with parameters. A revision never changes once
// accepted; instances name the revision that they were made from.
type Template struct {
	Name       string      `json:"name"`
	Revision   int         `json:"revision"`
	Help       string      `json:"help,omitempty"`
	Parameters []Parameter `json:"parameters,omitempty"`
	Behaviour  Behaviour   `json:"behaviour"`
}

// Instance puts a template in force for one service of a workspace.
type Instance struct {
	Workspace string            `json:"workspace"`
	Service   string            `json:"service"`
	Template  string            `json:"template,omitempty"`
	Revision  int               `json:"revision,omitempty"`
	Values    map[string]string `json:"values,omitempty"`
	// Withdrawn puts nothing in force, and names no template. The object keeps
	// its version, so that no repeat of an old publication brings it back.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Publication proposes one change; exactly one of Template and Instance is
// set.
type Publication struct {
	// ID is the ID of the record that carries it.
	ID     string `json:"id"`
	Author string `json:"author"`
	// BaseVersion is the version of the object that the author saw; 0 to create.
	BaseVersion Version `json:"based"`
	// Rules is the rule set that decides p; 0 means the first. See RulesVersion.
	Rules    int       `json:"rules,omitempty"`
	Template *Template `json:"template,omitempty"`
	Instance *Instance `json:"instance,omitempty"`
}

// RulesVersion is the newest set of fields, bounds and checks that this release
// decides by. A release that adds or changes one counts it up and keeps the
// older sets for the publications that name them. Without that, nodes of two
// releases would fold one log to two configurations.
const RulesVersion = 1

// Bounds of names and documents.
const (
	MaxNameBytes        = 64
	MaxPublicationBytes = 64 << 10
	MaxParameters       = 64
	// MaxHelpBytes bounds each help text.
	MaxHelpBytes = 512
	// MaxValueBytes bounds the text of one value.
	MaxValueBytes = 128
	// MaxStateBytes bounds the accepted templates and instances as snapshots
	// hold them. Beside it a snapshot holds at most maxDecisions decisions, so
	// that it always fits logstore.MaxRecordBytes: a state that no snapshot
	// can hold would be lost when its records expire.
	MaxStateBytes = 1280 << 10
)

// Record returns the log record of p, written at now.
func (p *Publication) Record(now time.Time) (logstore.Record, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return logstore.Record{}, fmt.Errorf("publication %s: %w", p.ID, err)
	}
	return logstore.Record{ID: p.ID, Kind: p.kind(), At: now, Body: body}, nil
}

func (p *Publication) kind() logstore.Kind {
	if p.Template != nil {
		return logstore.KindTemplate
	}
	return logstore.KindInstance
}

// Object names what p changes, such as "instance chikugo/letters".
func (p *Publication) Object() string {
	switch {
	case p.Template != nil:
		return templateObject(p.Template.Name)
	case p.Instance != nil:
		return instanceObject(p.Instance.Workspace, p.Instance.Service)
	}
	return ""
}

func templateObject(name string) string               { return "template " + name }
func instanceObject(workspace, service string) string { return "instance " + workspace + "/" + service }

// FieldError is one refused field.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Bound string `json:"bound"`
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %q, must be %s", e.Field, e.Value, e.Bound)
}

// FieldErrors are all refused fields of a document.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	text := ""
	for i, fe := range e {
		if i > 0 {
			text += "; "
		}
		text += fe.Error()
	}
	return text
}

func (e *FieldErrors) add(field, value, bound string) {
	*e = append(*e, FieldError{Field: clip(field), Value: clip(value), Bound: bound})
}
