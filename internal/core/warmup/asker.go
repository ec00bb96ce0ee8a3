package warmup

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/peerask"
)

const (
	// AskTimeout is how long a request waits for an issuer's answer. A grant that arrives later is lost.
	AskTimeout = 50 * time.Millisecond
	// deniedPause is the time for which an instance does not ask for a server after a denial. An issuer that grants ten
	// requests a second has the next permit after 110 ms on average, and others ask for it too.
	deniedPause = 200 * time.Millisecond
	// silentPause is the same after an issuer did not answer.
	silentPause = time.Second
)

// Ask is a question for one permit.
type Ask struct {
	Server, Issuer string
	// At is the time of the question.
	At time.Time
}

// InTime reports whether an answer that arrives now can be used.
func (a *Ask) InTime(now time.Time) bool { return now.Sub(a.At) <= AskTimeout }

// Asker holds which servers an instance does not ask permits for now. It is not safe for concurrent use.
type Asker struct {
	pauses peerask.Pauses[string]
}

// NewAsker returns the state of an instance that has asked nothing.
func NewAsker() *Asker { return &Asker{} }

// Asks reports whether the instance may ask for a permit for a server.
func (a *Asker) Asks(server string, now time.Time) bool { return !a.pauses.Active(server, now) }

// Ask returns a new question.
func (*Asker) Ask(server, issuer string, now time.Time) Ask {
	return Ask{Server: server, Issuer: issuer, At: now}
}

// Denied records that a permit was denied.
func (a *Asker) Denied(server string, now time.Time) { a.pauses.Set(server, now.Add(deniedPause)) }

// Silent records that a question was not answered in time.
func (a *Asker) Silent(server string, now time.Time) { a.pauses.Set(server, now.Add(silentPause)) }

// Expire forgets pauses that are over.
func (a *Asker) Expire(now time.Time) { a.pauses.Expire(now) }
