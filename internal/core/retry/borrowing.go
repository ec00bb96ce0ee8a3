package retry

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
)

const (
	// AnswerTimeout is how long a request waits for the answer of one instance.
	AnswerTimeout = 30 * time.Millisecond
	// askLimit is the time after which no further instance is asked for a request. A retry that comes later helps its caller
	// less than the answer that it may return.
	askLimit = 50 * time.Millisecond
	// maxAsks is the number of instances that are asked for a request.
	maxAsks = 8
	// maxLinks is the number of instances that are linked at once to be asked.
	maxLinks = 3
)

// Borrowing holds the requests, identified by an R, for which an instance asks others for a retry. It is not safe for concurrent use.
type Borrowing[R any] struct {
	lenders   *Lenders
	questions peerask.Questions[*Ask[R]]
	// waiting are the requests for which a link is awaited.
	waiting []*Ask[R]
}

// Ask is a request that waits for a retry of another instance.
type Ask[R any] struct {
	Request R
	service string
	// until is the time after which no further instance is asked, and asked the number of those that were.
	until time.Time
	asked int
	// links are the instances whose links are awaited.
	links []string
}

// Step is the next action for a request that waits for a retry. If it names neither a lender nor links, there is no retry.
type Step struct {
	// Lender is the instance to ask, "" if there is none, and Token identifies the question.
	Lender string
	Token  uint64
	// Links are the instances to link. The request waits for the first of the links until Until.
	Links []string
	Until time.Time
	// NoneToAsk is set if no instance is left that could be asked.
	NoneToAsk bool
}

// NewBorrowing returns the state of an instance that has asked no other. incarnation is that of its process.
func NewBorrowing[R any](incarnation uint64) *Borrowing[R] {
	return &Borrowing[R]{lenders: NewLenders(), questions: peerask.New[*Ask[R]](incarnation)}
}

// Begin returns the state of a request that is to wait for a retry of a service. It asks nobody yet.
func (*Borrowing[R]) Begin(request R, service string, now time.Time) *Ask[R] {
	return &Ask[R]{Request: request, service: service, until: now.Add(askLimit)}
}

// Next records and returns the next step for a request. fleet is nil if the service's retries are not part of a fleet's allowance.
func (b *Borrowing[R]) Next(ask *Ask[R], fleet *Fleet, now time.Time) Step {
	if fleet == nil || ask.asked >= maxAsks || !now.Before(ask.until) {
		return Step{}
	}
	lender, links := b.lenders.Choose(fleet, maxLinks, now)
	switch {
	case lender != "":
		ask.asked++
		return Step{Lender: lender, Token: b.questions.Ask(lender, ask)}
	case len(links) > 0:
		ask.links = links
		b.waiting = append(b.waiting, ask)
		return Step{Links: links, Until: ask.until}
	default:
		return Step{NoneToAsk: true}
	}
}

// Granted returns the request for which an instance lends a retry, or nil if it no longer waits.
func (b *Borrowing[R]) Granted(from string, token uint64) *Ask[R] {
	ask, _ := b.questions.Take(from, token)
	return ask
}

// Denied returns the request for which an instance has no retry, and may have one after a wait, or nil if it no longer waits.
func (b *Borrowing[R]) Denied(from string, token uint64, wait time.Duration, now time.Time) *Ask[R] {
	ask, ok := b.questions.Take(from, token)
	if ok {
		b.lenders.Denied(from, ask.service, wait, now)
	}
	return ask
}

// TimedOut returns the request whose question was not answered in time, or nil if it was answered.
func (b *Borrowing[R]) TimedOut(lender string, token uint64, now time.Time) *Ask[R] {
	ask, ok := b.questions.Take(lender, token)
	if ok {
		b.lenders.Silent(lender, now)
	}
	return ask
}

// LinkUp returns the requests that waited for a link to an instance.
func (b *Borrowing[R]) LinkUp(name string) []*Ask[R] {
	var ready []*Ask[R]
	b.waiting = slices.DeleteFunc(b.waiting, func(ask *Ask[R]) bool {
		if !slices.Contains(ask.links, name) {
			return false
		}
		ready = append(ready, ask)
		return true
	})
	for _, ask := range ready {
		ask.links = nil
	}
	return ready
}

// LinksTimedOut records that none of the links came up in time, and reports whether the request waited for them.
func (b *Borrowing[R]) LinksTimedOut(ask *Ask[R], now time.Time) bool {
	i := slices.Index(b.waiting, ask)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	for _, name := range ask.links {
		b.lenders.Silent(name, now)
	}
	return true
}

// Expire forgets the requests that have ended, and the instances that may be asked again.
func (b *Borrowing[R]) Expire(ended func(R) bool, now time.Time) {
	b.lenders.Expire(now)
	waitsNoMore := func(ask *Ask[R]) bool { return ended(ask.Request) }
	b.waiting = slices.DeleteFunc(b.waiting, waitsNoMore)
	b.questions.DeleteFunc(waitsNoMore)
}
