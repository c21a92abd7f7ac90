// Package testseed sets a fixed seed for property tests, so that the same code gets the same test
// result in each run. Packages that use rapid call Fix in their TestMain.
package testseed

import (
	"flag"
	"fmt"
)

// defaultSeed is used when the command line sets no seed.
const defaultSeed = "20260501"

// Fix sets the seed of rapid, unless the flag -rapid.seed sets another. It parses the command line
// flags. It panics when the test binary does not link rapid, since the package then needs no seed.
func Fix() {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed == nil {
		panic("testseed: this test binary has no rapid.seed flag")
	}
	if seed.Value.String() != "0" {
		return
	}
	if err := seed.Value.Set(defaultSeed); err != nil {
		panic(fmt.Sprintf("testseed: set rapid.seed: %v", err))
	}
}
