package idempotency

import "flag"

// A fixed seed gives the same verdict each run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260101") }
