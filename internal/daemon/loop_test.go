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
