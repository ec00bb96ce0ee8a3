package core_test

import (
	"runtime/debug"
	"testing"
)

// testGCPercent lets the heap grow to five times what is in use, in place of twice. The simulated fleets hold some
// megabytes and make much garbage, so that collecting it would take a third of their time.
const testGCPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(testGCPercent)
	m.Run()
}
