// Package fixedseed sets a fixed seed for the property tests of a package that imports it, so that
// the result of CI does not change from run to run. `go test -rapid.seed=N` overrides the seed,
// and N=0 selects a random one. With the race detector there are fewer cases, unless `-rapid.checks` is set.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags

	"github.com/ebonydyke/ebonydyke/test/racedetector"
)

const seed = "20261202"

// checksWithRaceDetector is the number of cases of each property with the race detector, in place of 100: properties are
// of code without goroutines.
const checksWithRaceDetector = "20"

func init() {
	set("rapid.seed", seed)
	if racedetector.Enabled {
		set("rapid.checks", checksWithRaceDetector)
	}
}

// set sets a flag.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
