package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// Guards against accepting a request that the kill of the process would end, and against refusing one that would be
// answered in time, because the grace time was changed while the instance ran.
func TestStopKeepsToChangedGrace(t *testing.T) {
	for name, c := range map[string]struct {
		grace   time.Duration
		after   time.Duration
		path    string
		refused bool
	}{
		"shortened":   {5 * time.Second, 4 * time.Second, "/progress/x", true},
		"lengthened":  {20 * time.Second, 4 * time.Second, "/question/x", false},
		"not changed": {8 * time.Second, 4 * time.Second, "/progress/x", false},
		"none":        {0, 9 * time.Second, "/question/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newNodeDriver(t, 2)
			held := onlyEffect[core.SendAttempt](t, r.sendRequest("/question/x", "key-1"))
			r.handle(core.StopGraceSet{Grace: c.grace})
			r.handle(core.StopRequested{})
			require.Empty(t, effectsOf[core.CancelAttempt](r.advance(c.after)), "the request %s goes on", held.Request)
			effects := r.sendRequest(c.path, "key-1")
			if !c.refused {
				require.Len(t, effectsOf[core.SendAttempt](effects), 1)
				return
			}
			finish := onlyEffect[core.Finish](t, effects)
			require.Equal(t, reason.NotRun, finish.Outcome)
			require.Equal(t, reason.Stopping, finish.Reason)
		})
	}
}
