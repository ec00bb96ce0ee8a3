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

// Guards against two processes for one instance. One fault stopped the instance, another
// killed it before its process had ended, and both restarted it. The first new process was
// then untracked: no later fault reached it, and it outlived the soak and kept calling the
// address of its store, which by then belonged to another soak.
func TestConcurrentFaultsStartOneProcess(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "daemon")
	// The process takes 200 ms to end, so that the second fault occurs meanwhile.
	script := "#!/bin/sh\ntrap 'sleep 0.2; exit 0' TERM\nwhile :; do sleep 0.05; done\n"
	require.NoError(t, os.WriteFile(binary, []byte(script), 0o700))
	w := &World{options: Options{Binary: binary}, recorder: newRecorder(), lost: newLostRecorder()}
	i := &instance{world: w, name: "entry-0", settings: filepath.Join(t.TempDir(), "entry-0.json")}
	w.instances = []*instance{i}
	t.Cleanup(w.stop)
	require.NoError(t, i.start(binary, nil))
	time.Sleep(100 * time.Millisecond)

	var faults sync.WaitGroup
	faults.Go(func() { w.stopInstance(testFaultParams()) })
	faults.Go(func() { w.killInstance(testFaultParams()) })
	faults.Wait()

	require.Equal(t, 2, i.starts, "the first start and one restart after both faults")
}

func testFaultParams() faultParams {
	return faultParams{random: rand.New(rand.NewPCG(1, 1)), duration: 400 * time.Millisecond}
}
