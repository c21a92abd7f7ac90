// Package mesh runs one node of a deployment whose requests come by routes: its
// listeners, the followers of the store's topics, the node's own record among
// the members, and the planned stop. Decisions are in packages node, routing,
// routes and fleet; the words of a platform are in the adapter that is given in
// as Platform.
package mesh
