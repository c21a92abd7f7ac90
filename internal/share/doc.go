// Package share divides scarce capacity among workspaces of the same importance.
//
// Load pattern: one workspace sends several times its usual rate to a service that has too little room.
// If all requests are shed alike, the workspace gets several times the room, and the others get less.
//
// The division is weighted max-min: a workspace that asks for less than its share gets all of it, and
// what it leaves goes to the others in proportion to their weights. No list of shares is handed out. A
// request draws a number evenly between 0 and the demand of its workspace divided by the weight, and
// services shed requests from one threshold on. A threshold T admits min(demand, T x weight) of each
// workspace, which is the weighted max-min division of whatever T lets through. The number travels with
// the tree of calls as its caller hash, so the entry node and all guards divide alike.
//
// A Table maps the number to a position between 0 and 1 such that the positions of all requests of a
// level are evenly distributed, as hashes are. Demand comes from an overview.View, weights and bounds
// from operators.
//
// The package is pure: no I/O, no clock, no random source.
package share
