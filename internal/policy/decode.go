package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/galenagrade/galenagrade/internal/logstore"
)

// DecodeTemplate decodes and validates one template. It refuses unknown fields.
func DecodeTemplate(data []byte) (*Template, error) {
	t := &Template{}
	if errs := decodeStrict(data, t); len(errs) > 0 {
		return nil, errs
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return t, nil
}

// DecodeInstance decodes one instance. It refuses unknown fields. Resolve validates the instance.
func DecodeInstance(data []byte) (*Instance, error) {
	i := &Instance{}
	if errs := decodeStrict(data, i); len(errs) > 0 {
		return nil, errs
	}
	return i, nil
}

// DecodePublication decodes one publication. It refuses unknown fields.
func DecodePublication(data []byte) (*Publication, error) {
	p, errs := decodePublication(data)
	return p, asError(errs)
}

func decodePublication(data []byte) (*Publication, FieldErrors) {
	var errs FieldErrors
	if len(data) > MaxPublicationBytes {
		errs.add("publication", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxPublicationBytes))
		return nil, errs
	}
	p := &Publication{}
	if errs = decodeStrict(data, p); len(errs) > 0 {
		return nil, errs
	}
	if p.Rules < 0 {
		errs.add("publication.rules", fmt.Sprint(p.Rules), "at least 0")
		return nil, errs
	}
	if (p.Template == nil) == (p.Instance == nil) {
		errs.add("publication", p.ID, "one of template and instance")
		return nil, errs
	}
	return p, nil
}

// DecodeInstances decodes a JSON array of instances, the form in which operators keep them in
// files.
func DecodeInstances(data []byte) ([]Instance, error) {
	var list []Instance
	if errs := decodeStrict(data, &list); len(errs) > 0 {
		return nil, errs
	}
	return list, nil
}

// decodeStrict decodes one JSON document. It refuses unknown fields and trailing data.
func decodeStrict(data []byte, into any) FieldErrors {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		return FieldErrors{{Field: "document", Value: "trailing data", Bound: "one JSON value"}}
	}
	return FieldErrors{decodeError(err)}
}

func decodeError(err error) FieldError {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return FieldError{Field: te.Field, Value: te.Value, Bound: "a JSON " + te.Type.Kind().String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return FieldError{Field: clip(strings.Trim(name, `"`)), Value: "set", Bound: "absent: unknown field"}
	}
	return FieldError{Field: "document", Value: clip(err.Error()), Bound: "valid JSON"}
}

// needsNewerRules reports whether e is a publication that only a newer release can decide. It
// ignores unknown fields, since the rest of the publication may have fields of the newer release.
func needsNewerRules(e logstore.Entry) bool {
	if e.Record.Kind != logstore.KindTemplate && e.Record.Kind != logstore.KindInstance {
		return false
	}
	if len(e.Record.Body) > MaxPublicationBytes {
		return false
	}
	var head struct {
		Rules int `json:"rules"`
	}
	return json.Unmarshal(e.Record.Body, &head) == nil && head.Rules > RulesVersion
}
