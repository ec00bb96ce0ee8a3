package engine

import (
	"context"
	"fmt"
	"time"
)

// stream is one streamed response. It continues without a reader until it is cancelled, so that a
// reader can resume it after its connection broke.
type stream struct {
	id        string
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// tokens and interval determine which events exist at a given time.
	tokens   int
	interval time.Duration
	padding  string
}

// event returns the event with number n, waiting until it exists.
func (st *stream) event(ctx context.Context, engine string, n int) (string, error) {
	due := st.startedAt.Add(time.Duration(n-1) * st.interval)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return "", ctx.Err()
	case <-st.ctx.Done():
		return "", st.ctx.Err()
	}
	if n > st.tokens {
		return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n), nil
	}
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s-%s-%d %s\"}}]}\n\n", n, engine, st.id, n, st.padding), nil
}
