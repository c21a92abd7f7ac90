package inner

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Limits of the fields of a control message. MaxControlBytes limits the whole message.
const (
	// MaxListLen limits the length of a repeated field. By design an availability zone has about 412
	// nodes (14,000 nodes in 34 zones); the limit is about 10 times that number.
	MaxListLen = 4096
	// MaxTextLen limits a string field, in bytes.
	MaxTextLen = 512
	// MaxFieldValueLen limits the value of a header field of a stored response, in bytes.
	MaxFieldValueLen = 8192
	// MaxDuration limits a duration. Records may be kept that long.
	MaxDuration = 365 * 24 * time.Hour
)

// headerFieldValue is the only string field that may exceed MaxTextLen.
const headerFieldValue protoreflect.FullName = "galenagrade.inner.v1.HeaderField.value"

// CheckMessage returns a *FieldError for the first field of m that is out of bounds; nil if there is
// none. It iterates over the message descriptor, so that new fields are always checked. The
// cost is low, since control messages arrive about once per second.
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
		return checkDuration(fd, v.Int(), path)
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

// checkDuration checks durations, whose field names end in _us. A negative age would make an old
// update look recent. The authority of a key's owner depends on ages, so it could seem to continue
// after it expired.
func checkDuration(fd protoreflect.FieldDescriptor, us int64, path string) error {
	if !strings.HasSuffix(string(fd.Name()), "_us") {
		return nil
	}
	return checkMicros(path, us, MaxDuration)
}
