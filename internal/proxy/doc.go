// Package proxy is the data path over net/http: it takes requests from
// callers and from the local upstream, carries attempts to guards on other
// nodes, and runs admitted calls at the local upstream. The decisions are made
// in package node; this package performs them.
package proxy
