package daemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/daemon"
)

type ignoreEffects struct{}

func (ignoreEffects) Execute(core.Effect) {}

// TestInspectReturnsByDeadline requests the status of a core before its loop runs, as if the core
// were stuck, and afterwards. An operator's request must return by its deadline, and an expired
// request must not take the core's time later.
func TestInspectReturnsByDeadline(t *testing.T) {
	loop := daemon.NewLoop(core.New(core.Settings{Name: "entry-1"}))
	short, cancelShort := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancelShort()
	_, err := daemon.Inspect(short, loop, (*core.Node).Status)
	require.ErrorIs(t, err, context.DeadlineExceeded)

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(ctx, ignoreEffects{}) }()
	s, err := daemon.Inspect(ctx, loop, (*core.Node).Status)
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.Instance)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// slowEffects takes a time for each effect.
type slowEffects struct{ takes time.Duration }

func (s slowEffects) Execute(core.Effect) { time.Sleep(s.takes) }

// Guards against requests that are late because the core is behind, without a line that says so.
func TestLoopThatIsBehindIsLogged(t *testing.T) {
	loop := daemon.NewLoop(core.New(core.Settings{Name: "entry-1"}))
	lines := make(chan []any, 1)
	loop.SetLog(func(text string, fields ...any) {
		select {
		case lines <- append([]any{text}, fields...):
		default:
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = loop.Run(ctx, slowEffects{20 * time.Millisecond}) }()
	for range 20 {
		loop.Post(core.RequestArrived{Request: "r", Service: "none"})
	}
	select {
	case line := <-lines:
		require.Equal(t, "event loop behind", line[0])
		require.Contains(t, line, "tickedMs", "the tick that refuses the requests that waited for the start")
	case <-time.After(10 * time.Second):
		t.Fatal("no line after an event of 400 ms")
	}
}
