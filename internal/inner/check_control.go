package inner

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Bounds of a control message's fields. MaxControlBytes bounds the whole.
const (
	// MaxListLen bounds a repeated field. An availability zone has about 412
	// nodes at the planned size (14,000 over 34), so a list of all of them
	// fits ten times over.
	MaxListLen = 4096
	// MaxTextLen bounds a string field, in bytes.
	MaxTextLen = 512
	// MaxFieldValueLen bounds the value of a kept answer's header field.
	MaxFieldValueLen = 8192
	// MaxSpan bounds a duration. Records may be kept for as long.
	MaxSpan = 365 * 24 * time.Hour
)

// headerFieldValue is the one string that may exceed MaxTextLen.
const headerFieldValue protoreflect.FullName = "galenagrade.inner.v1.HeaderField.value"

// CheckMessage reports the first field of m that is out of bounds, as a
// *FieldError. It walks the message by its descriptor, so that a new field
// can't be forgotten; control messages come about once a second.
func CheckMessage(m proto.Message) error {
	return checkMessage(m.ProtoReflect(), "")
}

func checkMessage(m protoreflect.Message, path string) error {
	var failed error
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		failed = checkField(fd, v, path+string(fd.Name()))
		return failed == nil
	})
	return failed
}

func checkField(fd protoreflect.FieldDescriptor, v protoreflect.Value, path string) error {
	if !fd.IsList() {
		return checkScalar(fd, v, path)
	}
	list := v.List()
	if list.Len() > MaxListLen {
		return &FieldError{path, fmt.Sprintf("%d long", list.Len()), fmt.Sprintf("at most %d", MaxListLen)}
	}
	for i := range list.Len() {
		if err := checkScalar(fd, list.Get(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func checkScalar(fd protoreflect.FieldDescriptor, v protoreflect.Value, path string) error {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		return checkMessage(v.Message(), path+".")
	case protoreflect.StringKind:
		return checkLen(fd, len(v.String()), path)
	case protoreflect.Int64Kind:
		return checkSpan(fd, v.Int(), path)
	default:
		return nil
	}
}

func checkLen(fd protoreflect.FieldDescriptor, n int, path string) error {
	bound := MaxTextLen
	if fd.FullName() == headerFieldValue {
		bound = MaxFieldValueLen
	}
	if n > bound {
		return &FieldError{path, fmt.Sprintf("%d bytes long", n), fmt.Sprintf("at most %d", bound)}
	}
	return nil
}

// checkSpan bounds durations, which end in _us. A negative age would make
// old updates look fresh, and the authority of an owner rests on ages.
func checkSpan(fd protoreflect.FieldDescriptor, us int64, path string) error {
	if !strings.HasSuffix(string(fd.Name()), "_us") {
		return nil
	}
	return checkMicros(path, us, MaxSpan)
}
