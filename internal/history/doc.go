// Package history records what callers sent and got, what upstreams ran by
// their own account, and which configuration nodes had in force, and decides
// whether such a history keeps the system's promises. The check needs no
// knowledge of how the nodes work: it compares the two ends only.
package history
