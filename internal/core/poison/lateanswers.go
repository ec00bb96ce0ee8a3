package poison

import (
	"slices"
	"time"
)

// LateAnswers holds the servers that seemed to have ended and answered later. A device on the path may have reset their connections
// and refused new ones. It is not safe for concurrent use.
type LateAnswers struct{ at map[Server]time.Time }

// NewLateAnswers returns a LateAnswers without servers.
func NewLateAnswers() *LateAnswers { return &LateAnswers{at: make(map[Server]time.Time)} }

// Note notes an answer of a server to an attempt that was sent at sentAt, if that was after its end.
func (l *LateAnswers) Note(t *Tracker, server Server, sentAt, now time.Time) {
	if at, ended := t.EndedAt(server); ended && sentAt.After(at) && l.at[server].IsZero() {
		l.at[server] = now
	}
}

// TakeOlder returns the servers whose first answer is at least age old, in a fixed order, and forgets them.
func (l *LateAnswers) TakeOlder(age time.Duration, now time.Time) []Server {
	var old []Server
	for server, at := range l.at {
		if now.Sub(at) >= age {
			old = append(old, server)
			delete(l.at, server)
		}
	}
	slices.SortFunc(old, CompareServers)
	return old
}
