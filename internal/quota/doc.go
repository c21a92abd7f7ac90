// Package quota enforces the request quotas of workspaces over all nodes without a coordinator.
//
// A quota is a rate and a burst over all nodes together. It is divided into parts, and each part
// belongs to a holder. The holders of a workspace follow from hashes of the node names and the
// workspace name, so nodes with the same list of nodes choose the same holders without exchanging
// messages. Each holder fills a token bucket at the rate of its part, and a request spends one
// token of one bucket. A node whose own bucket is empty, or that holds no part, requests a token
// from the holders; the token is spent in the bucket of the holder that grants it. The sum over
// all nodes therefore stays bounded while nodes are partitioned, stop or start, and a partitioned
// zone continues with the tokens of its own holders.
//
// Load pattern: a workspace floods many nodes at once while zones are partitioned from each
// other. Most workspaces send less than 1 request a second to each node, so equal parts on all
// nodes would refuse requests that the whole quota has room for.
//
// The package is pure: no I/O, no clock, no random source of its own.
package quota
