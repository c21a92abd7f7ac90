// Package records is how the records of nodes and the published routes travel. A Topic of the store holds
// the newest record of each key. A Follower applies a topic's records: it reads them through another node
// of its zone (Relay) or from the store, and buffers them for the nodes that read through its own. A
// Publisher writes the node's record, in one append with those of other nodes (GroupWriter). A Gossiper
// passes records on that the store does not accept.
//
// What a record means, and how nodes reach each other, is up to the caller.
package records
