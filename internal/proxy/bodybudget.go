package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// smallBody is the size in bytes up to which a body is small. Small bodies have a part of the memory for themselves.
	smallBody = 128 << 10
	// smallShare is that part, as a divisor.
	smallShare = 4
	// bodyWait is how long a request waits for memory for its body. Callers try another instance if theirs has not read a request
	// within about a second.
	bodyWait = 500 * time.Millisecond
	// bodyRetryAfter is when a caller whose request found no memory may come back.
	bodyRetryAfter = time.Second
)

// errNoBodyMemory means that a request was refused because the bodies in memory leave no room for its own.
var errNoBodyMemory = errors.New("proxy: no memory for the body")

// bodyBudget bounds the memory that the bodies of all requests take together. A body is counted before it is read, until its
// request has ended. Without the bound, bodies that are each permitted could take more memory than the process may have.
type bodyBudget struct {
	// small and large count bytes. Small bodies never wait behind large ones, but use their room if there is any.
	small, large *semaphore.Weighted
	// largeSize is the capacity of large, in bytes.
	largeSize int64
	held      atomic.Int64
}

func newBodyBudget(size int) *bodyBudget {
	small := max(smallBody, size/smallShare)
	large := max(1, size-small)
	return &bodyBudget{small: semaphore.NewWeighted(int64(small)), large: semaphore.NewWeighted(int64(large)), largeSize: int64(large)}
}

// Held returns the number of bytes that bodies take.
func (b *bodyBudget) Held() int64 { return b.held.Load() }

// bodyGrant is what the body of one request has been granted.
type bodyGrant struct {
	budget *bodyBudget
	// small and large are the bytes that were taken from each part.
	small, large int64
}

// take waits for memory for n more bytes of a body, for at most bodyWait. A body that is larger than all the memory for bodies takes
// all of it.
func (g *bodyGrant) take(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), bodyWait)
	defer cancel()
	b, want := g.budget, int64(n)
	switch {
	case g.small+g.large+want > smallBody:
		want = min(want, b.largeSize-g.large)
		if b.large.Acquire(ctx, want) != nil {
			return errNoBodyMemory
		}
		g.large += want
	case b.small.TryAcquire(want):
		g.small += want
	case b.large.TryAcquire(want):
		g.large += want
	case b.small.Acquire(ctx, want) == nil:
		g.small += want
	default:
		return errNoBodyMemory
	}
	b.held.Add(want)
	return nil
}

// release returns all that was granted.
func (g *bodyGrant) release() {
	g.budget.small.Release(g.small)
	g.budget.large.Release(g.large)
	g.budget.held.Add(-g.small - g.large)
	g.small, g.large = 0, 0
}
