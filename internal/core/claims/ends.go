package claims

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// EndTimeout is how long a claim end waits in the queue of a partition.
	EndTimeout = 15 * time.Second
	// EndMaxRetryDelay is the longest delay between two attempts to record a claim end, and endRetryDelay the first one.
	EndMaxRetryDelay = time.Minute
	endRetryDelay    = 5 * time.Second
	// releaseRetryDelay is the first retry delay for a release. It is short because the caller may retry soon.
	releaseRetryDelay = time.Second
	// maxEnds limits the claim ends that are not stored yet.
	maxEnds = 8192
)

// End is the final state of a claim that is not stored yet.
type End struct {
	Request Request
	// nextTry is the time of the next attempt, and tries the number of attempts made.
	nextTry time.Time
	tries   int
}

// Try records an attempt. It returns the delay after the first attempt and the number of attempts made, from which the caller
// computes the delay before the next one.
func (e *End) Try() (first time.Duration, tries int) {
	e.tries++
	if e.Request.Set == Released {
		return releaseRetryDelay, e.tries
	}
	return endRetryDelay, e.tries
}

// RetryAt sets the time of the next attempt.
func (e *End) RetryAt(at time.Time) { e.nextTry = at }

// GoesToOwner reports whether this attempt goes to the owner of the partition if it can be reached. The owner has the log in
// memory; with a slow store, this instance could take long to load it. If the owner has been silent, every second attempt is made
// locally.
func (e *End) GoesToOwner(heard bool) bool { return e.tries%2 == 1 || heard }

// Due reports whether another attempt is due.
func (e *End) Due(now time.Time) bool { return !now.Before(e.nextTry) }

// Expired reports whether the claim has expired, so that its end need not be stored.
func (e *End) Expired(now time.Time) bool { return UnixSeconds(now) > e.Request.Expires }

// Ends holds the claim ends that are not stored yet, by token. They are only in memory: if this instance is killed, the key stays
// claimed until it expires. It is not safe for concurrent use.
type Ends struct{ byToken map[uint64]*End }

// NewEnds returns an empty Ends.
func NewEnds() *Ends { return &Ends{byToken: make(map[uint64]*End)} }

// Add records the end of a claim. It returns nil if there are maxEnds already.
func (l *Ends) Add(req Request) *End {
	if len(l.byToken) >= maxEnds {
		return nil
	}
	end := &End{Request: req}
	l.byToken[req.Token] = end
	return end
}

// Confirm drops a claim end once the reply confirms that it is stored.
func (l *Ends) Confirm(reply Reply) {
	if end := l.byToken[reply.Token]; end != nil && end.Request.Set == reply.Set && reply.Verdict == Granted {
		delete(l.byToken, reply.Token)
	}
}

// Drop forgets a claim end that is not stored.
func (l *Ends) Drop(e *End) { delete(l.byToken, e.Request.Token) }

// Empty reports whether every claim end is stored.
func (l *Ends) Empty() bool { return len(l.byToken) == 0 }

// Get returns the end of the claim with a token, or nil if it is stored.
func (l *Ends) Get(token uint64) *End { return l.byToken[token] }

// Tokens returns the tokens of the claims, sorted.
func (l *Ends) Tokens() []uint64 { return slices.Sorted(maps.Keys(l.byToken)) }

// UnixSeconds returns a time in seconds since 1970, as in Request.Expires, limited to the range of uint32.
func UnixSeconds(t time.Time) uint32 { return uint32(min(max(0, t.Unix()), math.MaxUint32)) }
