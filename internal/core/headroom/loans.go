package headroom

import "time"

// loanGrace is the time after the end of a borrower's need from which a slot is free without word from it: its
// message may be late, and its request may still run.
const loanGrace = time.Second

// Loans are the slots that an instance has lent, and the number that it has borrowed, by server. It is not safe
// for concurrent use.
type Loans struct {
	lent     map[LoanKey]loan
	lentAt   map[string]int
	borrowed map[string]int
}

// LoanKey identifies a loan: the instance that borrows, and its token for it.
type LoanKey struct {
	Borrower string
	Token    uint64
}

type loan struct {
	server    string
	expiresAt time.Time
}

// NewLoans returns the state of an instance without loans.
func NewLoans() *Loans {
	return &Loans{lent: make(map[LoanKey]loan), lentAt: make(map[string]int), borrowed: make(map[string]int)}
}

// LentAt returns the number of slots of a server that are lent.
func (l *Loans) LentAt(server string) int { return l.lentAt[server] }

// BorrowedAt returns the number of borrowed slots of a server.
func (l *Loans) BorrowedAt(server string) int { return l.borrowed[server] }

// Lend records that a slot of a server is lent, for at most hold. The caller has checked that one is free.
func (l *Loans) Lend(key LoanKey, server string, hold time.Duration, now time.Time) {
	l.Return(key)
	l.lent[key] = loan{server: server, expiresAt: now.Add(hold + loanGrace)}
	l.lentAt[server]++
}

// Return ends a loan. An unknown one is ignored: the message may come twice, or after the loan has expired.
func (l *Loans) Return(key LoanKey) {
	ended, ok := l.lent[key]
	if !ok {
		return
	}
	delete(l.lent, key)
	decrement(l.lentAt, ended.server)
}

// Borrowed records that a request runs on a borrowed slot of a server, and Released that it has ended.
func (l *Loans) Borrowed(server string) { l.borrowed[server]++ }

// Released records that a request on a borrowed slot of a server has ended.
func (l *Loans) Released(server string) { decrement(l.borrowed, server) }

// Expire ends the loans whose borrowers have not returned the slot in time.
func (l *Loans) Expire(now time.Time) {
	for key, lent := range l.lent {
		if !now.Before(lent.expiresAt) {
			l.Return(key)
		}
	}
}

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}
