package poison

import (
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// BeginWindow is the time from the first byte of a response for which the parts of its prompt are suspected if the server
// ends. A response that has gone on for so long proves them.
const BeginWindow = time.Second

// Request is what a request in progress may end servers by, and what is known of one of its attempts.
type Request struct {
	// Content identifies the requests of the customer with the same content, and Parts those that share the parts of
	// the prompt, in order.
	Content Key
	Parts   []Key
	Run
	// IsTrial is set if the request is blocked and is sent once nevertheless.
	IsTrial bool
}

// Run is what is known of one attempt of a request.
type Run struct {
	// Start is the server of the attempt, and Software its service and software version.
	Start    Server
	Software string
	// BeganAt is the time at which the response began, zero before that.
	BeganAt time.Time
	// suspected is set if the server ended, and the parts may have ended it.
	suspected bool
}

// NewRequest returns a customer's request with a content hash and the IDs of the shared parts of its prompt.
func NewRequest(customer string, content uint64, parts []string) Request {
	r := Request{Content: KeyOf(customer, content), Parts: make([]Key, 0, len(parts))}
	for _, id := range parts {
		r.Parts = append(r.Parts, PartKey(id))
	}
	return r
}

// Sent records that an attempt was sent.
func (r *Request) Sent(start Server, software string) {
	r.Run = Run{Start: start, Software: software}
}

// BlockedAmong returns the blocked ones among a request's content and parts.
func (t *Tracker) BlockedAmong(r *Request) []Key {
	var blocked []Key
	if t.Blocked(r.Content) {
		blocked = append(blocked, r.Content)
	}
	for _, part := range r.Parts {
		if t.Blocked(part) {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// Refuses reports whether an instance is to refuse a request on arrival, because its content or a part is blocked. If a
// trial of all that is blocked is due and the instance may try, the request becomes that trial.
func (t *Tracker) Refuses(r *Request, instance string, mayTry bool, now time.Time) bool {
	blocked := t.BlockedAmong(r)
	r.IsTrial = len(blocked) > 0 && mayTry
	for _, key := range blocked {
		t.Used(key, now)
		due, ever := t.trialDueAt(key, instance)
		r.IsTrial = r.IsTrial && ever && !now.Before(due)
	}
	return len(blocked) > 0 && !r.IsTrial
}

// trialDueAt returns the time from which an instance may send once more what is blocked, and whether it may at all. The
// instances' times are spread over half of the delay, so that two that receive a request at the same moment do not
// both start the trial.
func (t *Tracker) trialDueAt(key Key, instance string) (time.Time, bool) {
	due, delay, ever := t.TrialDue(key)
	share := rendezvous.Unit(rendezvous.HashPair(instance, key.String()))
	return due.Add(time.Duration(share * float64(delay) / 2)), ever
}

// Stops reports whether a request must not be sent, or not be sent again after a number of runs. A trial is one run.
func (t *Tracker) Stops(r *Request, runs int) bool {
	return (!r.IsTrial || runs > 0) && len(t.BlockedAmong(r)) > 0
}

// UntilTrial returns the time until an instance may send a request that is refused, and whether it ever may.
func (t *Tracker) UntilTrial(r *Request, instance string, now time.Time) (delay time.Duration, ever bool) {
	for _, key := range t.BlockedAmong(r) {
		due, ever := t.trialDueAt(key, instance)
		if !ever {
			return 0, false
		}
		delay = max(delay, due.Sub(now))
	}
	return delay, true
}

// ServerEnded records that the server of a request's last attempt ended. It returns what changed. A part ends a server
// when that begins to answer, so the parts of a request whose answer was under way are not suspected.
func (t *Tracker) ServerEnded(r *Request, now time.Time) []Key {
	var changed []Key
	if t.Ended(r.Content, r.Start, now) {
		changed = append(changed, r.Content)
	}
	r.suspected = r.BeganAt.IsZero() || now.Sub(r.BeganAt) < BeginWindow
	if !r.suspected {
		return changed
	}
	for i, part := range r.Parts {
		if t.PartEnded(part, i+1, r.Start, r.Software, now) {
			changed = append(changed, part)
		}
	}
	return changed
}

// RetryEndsAnother reports whether a request under which a server has just ended is not to be tried again: another server
// ended under one of its parts before, and a retry would rather end a third one than help.
func (t *Tracker) RetryEndsAnother(r *Request) bool {
	return r.suspected && slices.ContainsFunc(r.Parts, t.LikelyEnds)
}

// Answered records a whole response to a request. It returns what changed.
func (t *Tracker) Answered(r *Request, now time.Time) []Key {
	changed := t.Completed(r.Content, now)
	beganAt := r.BeganAt
	if beganAt.IsZero() {
		beganAt = now
	}
	return append(changed, t.PartsAnswered(r.Parts, r.Software, beganAt)...)
}

// Begun records that a response has gone on for BeginWindow, and returns what changed. A long answer would else prove its
// parts late. It proves them from its beginning: its end shows nothing about what has changed meanwhile.
func (t *Tracker) Begun(r *Request) []Key { return t.PartsAnswered(r.Parts, r.Software, r.BeganAt) }
