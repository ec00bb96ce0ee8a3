// Package fixedseed gives the property tests of a package that imports it the same
// seed in every run, so that a verdict of CI does not change from run to run.
// `go test -rapid.seed=N` still plays another one, and 0 a random one.
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
