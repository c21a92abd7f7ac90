// Package admin implements the administration API: the messages, the client, the server with bearer
// tokens limited to workspaces, and the Backend interface that a node implements.
package admin

//go:generate protoc --proto_path=. --go_out=. --go_opt=module=github.com/galenagrade/galenagrade/internal/admin --connect-go_out=. --connect-go_opt=module=github.com/galenagrade/galenagrade/internal/admin admin.proto
