package daemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
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

// slowLinks takes a time for each change of a link, and tells of the end of a request.
type slowLinks struct {
	takes    time.Duration
	finished chan core.Finish
}

func (s slowLinks) Execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.StateChanged:
		if e.Subject == core.SubjectLink {
			time.Sleep(s.takes)
		}
	case core.Finish:
		s.finished <- e
	}
}

// Guards against requests that wait behind messages between instances until their callers have left.
func TestRequestsGoBeforeControlWork(t *testing.T) {
	const messages, takes = 400, 5 * time.Millisecond
	loop := daemon.NewLoop(core.New(core.Settings{Name: "entry-1"}))
	for range messages {
		loop.Post(core.PeerConnected{Peer: "entry-2", Incarnation: 1})
	}
	loop.Post(core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "first", Text: `{"customers": [{"name": "branch"}]}`}})
	exec := slowLinks{takes, make(chan core.Finish, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = loop.Run(ctx, exec) }()
	for range 20 {
		sent := time.Now()
		loop.Post(core.RequestArrived{Request: "r", Customer: "branch", Service: "none", Deadline: loop.Now().Add(100 * time.Millisecond)})
		<-exec.finished
		require.Less(t, time.Since(sent), messages*takes/4, "the messages take 2 s")
	}
}

// Guards against an instance that no longer follows the fleet while requests keep it busy.
func TestControlWorkGoesOnBesideRequests(t *testing.T) {
	loop := daemon.NewLoop(core.New(core.Settings{Name: "entry-1"}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	posting, stopPosting := context.WithCancel(ctx)
	for range 4 {
		go func() {
			for posting.Err() == nil {
				loop.Post(core.CallerGone{Request: "none"})
			}
		}()
	}
	links := make(chan struct{}, 2000)
	go func() { _ = loop.Run(ctx, countLinks(links)) }()
	for range 1000 {
		loop.Post(core.PeerConnected{Peer: "entry-2", Incarnation: 1})
	}
	require.Eventually(t, func() bool { return len(links) == 1000 }, 10*time.Second, 10*time.Millisecond)
	stopPosting()
}

// countLinks counts changes of links.
type countLinks chan struct{}

func (c countLinks) Execute(effect core.Effect) {
	if e, ok := effect.(core.StateChanged); ok && e.Subject == core.SubjectLink {
		c <- struct{}{}
	}
}
