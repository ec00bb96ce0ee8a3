package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Guards against a check that excuses the refusal of a sound request although too few servers ended under its parts, or the
// refusal of many.
func TestRefusalsOfSoundRequestsAreReported(t *testing.T) {
	for _, c := range []struct {
		ends, refusals int
		violated       bool
	}{
		{ends: blamingEnds - 1, refusals: 1, violated: true},
		{ends: blamingEnds, refusals: 2},
		{ends: blamingEnds, refusals: 3, violated: true},
	} {
		w := &World{recorder: newRecorder(), ended: newEndedRecorder()}
		for n := range 100 {
			w.ended.recordParts(fmt.Sprint("r", n), []string{"first", "second", fmt.Sprint("r", n)})
		}
		for n := range c.ends {
			b := &backend{world: w, name: fmt.Sprint("i-", n), running: make(map[string][]string)}
			b.begin("ended", []string{"another", "second", "ended"})
			b.recordEnded()
		}
		left := &backend{world: w, name: "left", running: make(map[string][]string)}
		left.leavingAt.Store(1)
		left.begin("r0", []string{"first", "second", "r0"})
		left.recordEnded()
		for n := range c.refusals {
			w.checkNotBlamed(fmt.Sprint("r", n), &http.Response{
				Status: "503", Body: io.NopCloser(strings.NewReader(string(reason.PoisonRequest))),
			})
		}
		w.checkBlamed()
		require.Equal(t, c.violated, len(w.recorder.violations) > 0, "%+v: %v", c, w.recorder.violations)
	}
}
