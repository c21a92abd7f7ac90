// Package proxy implements the data path over net/http. It receives requests from callers and from
// the local upstream, sends attempts to guards on other nodes, and runs admitted calls at the local
// upstream. Package node makes the decisions, this package executes them.
package proxy
