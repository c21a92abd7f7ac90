// Package inner implements the protocol between nodes: the headers of a call between an entry node
// and a guard, and the Control service. The messages are defined in inner.proto.
package inner

//go:generate protoc --proto_path=. --go_out=. --go_opt=module=github.com/galenagrade/galenagrade/internal/inner --connect-go_out=. --connect-go_opt=module=github.com/galenagrade/galenagrade/internal/inner inner.proto
