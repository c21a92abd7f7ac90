// Package routing chooses the upstream for a call.
//
// The package does no I/O; the time and the source of randomness are arguments. A Table is an
// immutable view of the known endpoints and is replaced as a whole when membership changes
// (read-copy-update). A Target holds this node's observations of one endpoint. Successive tables
// share targets. Their fields are atomics, so Pick, Start and Done can be called concurrently and
// take no lock.
//
// The algorithm is the power of two choices on outstanding work relative to capacity, with the
// node's own availability zone first. docs/design/routing.md describes the design and its
// alternatives; docs/operations/routing.md is for operators.
package routing
