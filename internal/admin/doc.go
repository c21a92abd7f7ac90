// Package admin is the administration API: its messages, its server with
// bearer tokens limited to workspaces, and the Backend that a node implements.
package admin

//go:generate protoc --proto_path=. --go_out=. --go_opt=module=github.com/galenagrade/galenagrade/internal/admin --connect-go_out=. --connect-go_opt=module=github.com/galenagrade/galenagrade/internal/admin admin.proto
