// Package room decides whether a scarce service has room for a whole call tree before the tree is
// begun.
//
// Load pattern: a tree makes several calls in sequence to a service that lacks capacity, some
// hundred milliseconds after its entry node admitted it. What responses say about the service is then
// a second old, and after a step in demand entry nodes admit trees whose later calls are refused, with
// the work of all services on their way lost.
//
// A Ledger belongs to the guard of one upstream. Entry nodes ask it before they admit a tree, so that
// it sees the demand at entry time, including what it refuses. A Gate belongs to an entry node and
// decides when to ask. Both are pure: time and random numbers are arguments. Neither is safe for
// concurrent use.
package room
