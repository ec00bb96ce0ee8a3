package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance is stopped for planned work, and killed before its process has ended.
// Both faults then started it again: the first of the two processes was nobody's, no
// later fault struck it, and it outlived the soak and went on calling the address of
// its store, which by then was another soak's.
func TestTwoFaultsAtOnceLeaveOneProcess(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "daemon")
	// Long enough for the second fault to find the process still ending.
	script := "#!/bin/sh\ntrap 'sleep 0.2; exit 0' TERM\nwhile :; do sleep 0.05; done\n"
	require.NoError(t, os.WriteFile(binary, []byte(script), 0o700))
	w := &World{options: Options{Binary: binary}, ledger: newLedger()}
	i := &instance{world: w, name: "entry-0", settings: filepath.Join(t.TempDir(), "entry-0.json")}
	w.instances = []*instance{i}
	t.Cleanup(w.stop)
	require.NoError(t, i.start(binary, nil))
	time.Sleep(100 * time.Millisecond)

	var faults sync.WaitGroup
	faults.Go(func() { w.stopInstance(testBlow()) })
	faults.Go(func() { w.killInstance(testBlow()) })
	faults.Wait()

	require.Equal(t, 2, i.starts, "one start at first and one after the faults")
}

func testBlow() blow {
	return blow{random: rand.New(rand.NewPCG(1, 1)), length: 400 * time.Millisecond}
}
