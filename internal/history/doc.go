// Package history records the requests and responses seen by callers, the executions recorded by
// upstreams, and the configuration versions in force at nodes. It checks whether such a history
// satisfies the guarantees of the system. The check compares callers with upstreams only and does
// not depend on how the nodes work.
package history
