// Package testseed fixes the seed of property tests: the same code gets the same
// verdict each run. It is for the TestMain of packages that use rapid.
package testseed

import (
	"flag"
	"fmt"
)

// fixed is the seed where the command line gives none.
const fixed = "20260501"

// Fix sets the seed, unless -rapid.seed gives another. It parses the flags, and
// panics where rapid is not linked in: the package then needs no seed.
func Fix() {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed == nil {
		panic("testseed: this test binary has no rapid.seed flag")
	}
	if seed.Value.String() != "0" {
		return
	}
	if err := seed.Value.Set(fixed); err != nil {
		panic(fmt.Sprintf("testseed: rapid.seed: %v", err))
	}
}
