// Package mesh runs one node of a deployment that routes calls by published routes. It holds the
// node's listeners, the state that followers of the store's topics keep up to date, the node's own member
// record, and the planned stop. Decisions are made in packages node, routing, routes and fleet;
// everything specific to a platform is in the adapter that is passed in as Platform.
package mesh
