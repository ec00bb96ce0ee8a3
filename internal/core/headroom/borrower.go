package headroom

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
)

const (
	// idleShare is the time for which a borrowed slot is kept for the next request, as a part of the time that requests of
	// the service take. While a balancer crowds an instance it borrows most slots, and a loan for each request would
	// take three messages for each. A slot that is free for less than minIdle is returned at once.
	idleShare = 0.25
	minIdle   = 50 * time.Millisecond
	// loanHoldFactor is the time for which a slot is borrowed, as a multiple of the time that its first request needs
	// at most. Later requests use it as long as their time is within it.
	loanHoldFactor = 2
	// maxLoanHold bounds the time for which a slot that nobody returns stays lent.
	maxLoanHold = time.Minute
	// deniedShare is the time for which an owner that has no free slot is not asked, as a part of the same time.
	deniedShare = 0.5
	// runTimeWeight is the weight of a request in the moving average of the time that requests take.
	runTimeWeight = 0.1
	// silentPause is the time for which an owner that did not answer is not asked.
	silentPause = time.Second
)

// Loan is a slot of a server that an instance asks for or has borrowed.
type Loan struct {
	Owner, Service, Server string
	// Token identifies the loan among those of the borrower. It is that of the question.
	Token uint64
	// Hold is the time for which the slot is asked.
	Hold time.Duration
	// AnyServer is set if the owner may lend a slot of another server of the service.
	AnyServer bool
	// until is the end of the loan, and idleUntil the time until which it is kept without a request.
	until, idleUntil time.Time
}

// Borrower holds what an instance has borrowed and which owners it does not ask for now. It is not safe for
// concurrent use.
type Borrower struct {
	idle []*Loan
	// pauses are those of the owners that are not asked.
	pauses peerask.Pauses[string]
	// runTimes maps each service to the average time that a request on a borrowed slot takes.
	runTimes map[string]time.Duration
}

// NewBorrower returns the state of an instance that has borrowed nothing.
func NewBorrower() *Borrower {
	return &Borrower{runTimes: make(map[string]time.Duration)}
}

// Asks reports whether an owner may be asked.
func (b *Borrower) Asks(owner string, now time.Time) bool { return !b.pauses.Active(owner, now) }

// Ask returns the loan to ask an owner for, for a request that ends by a deadline. Its token is still to be set.
func (*Borrower) Ask(owner, service, server string, anyServer bool, deadline, now time.Time) *Loan {
	hold := min(loanHoldFactor*deadline.Sub(now), max(maxLoanHold, deadline.Sub(now)))
	return &Loan{Owner: owner, Service: service, Server: server, Hold: hold, AnyServer: anyServer, until: now.Add(hold)}
}

// Denied records that the owner of a loan has no free slot.
func (b *Borrower) Denied(l *Loan, now time.Time) {
	if l.AnyServer {
		b.pauses.Set(l.Owner, now.Add(time.Duration(deniedShare*float64(b.runTimes[l.Service]))))
	}
}

// Silent records that the owner of a loan did not answer.
func (b *Borrower) Silent(l *Loan, now time.Time) { b.pauses.Set(l.Owner, now.Add(silentPause)) }

// Ended records the end of a request that ran on a loan for a time. It reports whether the loan is kept for the
// next one; otherwise it is to be returned.
func (b *Borrower) Ended(l *Loan, ran time.Duration, now time.Time) bool {
	average := b.runTimes[l.Service]
	if average == 0 {
		average = ran
	}
	average += time.Duration(runTimeWeight * float64(ran-average))
	b.runTimes[l.Service] = average
	idle := time.Duration(idleShare * float64(average))
	if idle < minIdle {
		return false
	}
	l.idleUntil = now.Add(idle)
	b.idle = append(b.idle, l)
	return true
}

// Reuse returns a kept loan of a service for a request that ends by a deadline, or nil. The server must be usable.
func (b *Borrower) Reuse(service string, deadline time.Time, usable func(server string) bool) *Loan {
	i := slices.IndexFunc(b.idle, func(l *Loan) bool {
		return l.Service == service && !deadline.After(l.until) && usable(l.Server)
	})
	if i < 0 {
		return nil
	}
	l := b.idle[i]
	b.idle = slices.Delete(b.idle, i, i+1)
	return l
}

// TakeUnused returns the kept loans that are to be returned, and forgets owners that may be asked again.
func (b *Borrower) TakeUnused(now time.Time) []*Loan {
	var unused []*Loan
	b.idle = slices.DeleteFunc(b.idle, func(l *Loan) bool {
		if now.Before(l.idleUntil) {
			return false
		}
		unused = append(unused, l)
		return true
	})
	b.pauses.Expire(now)
	return unused
}
