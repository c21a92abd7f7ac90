// Package inner is the protocol between nodes: the headers of a data call and
// the Control service. The messages are in inner.proto.
package inner

//go:generate protoc --proto_path=. --go_out=. --go_opt=module=github.com/galenagrade/galenagrade/internal/inner --connect-go_out=. --connect-go_opt=module=github.com/galenagrade/galenagrade/internal/inner inner.proto
