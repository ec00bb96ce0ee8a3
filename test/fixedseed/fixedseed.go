// Package fixedseed sets a fixed seed for the property tests of a package that imports it, so that
// the result of CI does not change from run to run. `go test -rapid.seed=N` overrides the seed,
// and N=0 selects a random one.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
