// Package policy computes the overload behaviour in force for each service. Operators publish
// templates of overload behaviour and instances of templates. The log orders the publications,
// and a deterministic fold accepts or rejects each one, so that all readers of the log have the
// same configuration. The package is pure: no I/O, no clock, no goroutines.
package policy

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// Version orders the changes of an object and the states of the log. The version of an object is
// the offset of the record that last changed it plus 1; 0 means that the object does not exist.
// The version of a State is the offset up to which the log is folded. Both only increase.
type Version int64

// Type is the type of a parameter.
type Type string

// Types of parameters.
const (
	TypeInt      Type = "int"
	TypeFloat    Type = "float"
	TypeDuration Type = "duration"
	TypeBool     Type = "bool"
)

// Parameter is a value that an instance of a template may set. Default, Min and Max have the text
// form of values. If Min or Max is empty, only the bound of the behaviour field that refers to the
// parameter applies.
type Parameter struct {
	Name    string `json:"name"`
	Type    Type   `json:"type"`
	Unit    string `json:"unit,omitempty"`
	Default string `json:"default"`
	Min     string `json:"min,omitempty"`
	Max     string `json:"max,omitempty"`
	Help    string `json:"help,omitempty"`
}

// Template is a named behaviour with parameters. A revision does not change once accepted;
// instances name the revision that they are made from.
type Template struct {
	Name       string      `json:"name"`
	Revision   int         `json:"revision"`
	Help       string      `json:"help,omitempty"`
	Parameters []Parameter `json:"parameters,omitempty"`
	Behaviour  Behaviour   `json:"behaviour"`
}

// Instance applies a template to one service of a workspace.
type Instance struct {
	Workspace string            `json:"workspace"`
	Service   string            `json:"service"`
	Template  string            `json:"template,omitempty"`
	Revision  int               `json:"revision,omitempty"`
	Values    map[string]string `json:"values,omitempty"`
	// Withdrawn removes the behaviour of the service; the instance then names no template. The
	// object keeps its version, so that a retry of an old publication can't restore it.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Publication proposes one change. Exactly one of Template and Instance is set.
type Publication struct {
	// ID is the ID of the log record that contains the publication.
	ID     string `json:"id"`
	Author string `json:"author"`
	// BaseVersion is the version of the object that the author read; 0 to create the object.
	BaseVersion Version `json:"based"`
	// Rules is the version of the rules by which the publication is decided; 0 means the first.
	// See RulesVersion.
	Rules    int       `json:"rules,omitempty"`
	Template *Template `json:"template,omitempty"`
	Instance *Instance `json:"instance,omitempty"`
}

// RulesVersion is the version of the fields, bounds and checks by which this release decides. A
// release that adds or changes one increases it, and keeps the older rules for the publications
// that name them. Otherwise nodes of two releases would fold one log into two configurations.
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
	// MaxStateBytes bounds the templates and instances in a snapshot. A snapshot also has at most
	// maxDecisions decisions, so that it always fits logstore.MaxRecordBytes: a state that fits
	// no snapshot would be lost when its records expire.
	MaxStateBytes = 1280 << 10
)

// Record returns the log record of p with the time now.
func (p *Publication) Record(now time.Time) (logstore.Record, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return logstore.Record{}, fmt.Errorf("encode publication %s: %w", p.ID, err)
	}
	return logstore.Record{ID: p.ID, Kind: p.kind(), At: now, Body: body}, nil
}

func (p *Publication) kind() logstore.Kind {
	if p.Template != nil {
		return logstore.KindTemplate
	}
	return logstore.KindInstance
}

// Object identifies the object that p changes, such as "instance chikugo/letters".
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

// FieldError describes a field that is out of bounds.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Bound string `json:"bound"`
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s is %q, must be %s", e.Field, e.Value, e.Bound)
}

// FieldErrors lists the fields of a document that are out of bounds.
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
