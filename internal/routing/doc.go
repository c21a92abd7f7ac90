// Package routing chooses the upstream that a call is sent to.
//
// It is pure: time and randomness come in as arguments, and it does no I/O. A
// Table is an immutable view of the known endpoints, replaced as a whole when
// membership changes (read-copy-update). A Target holds what this node has
// observed of one endpoint; it is shared by successive tables and its fields
// are atomics, so Pick, Start and Done may be called concurrently and take no
// lock.
//
// The choice is the power of two choices on outstanding work relative to
// capacity, in the own availability zone first. docs/design/routing.md says
// what was weighed; docs/operations/routing.md is for operators.
package routing
