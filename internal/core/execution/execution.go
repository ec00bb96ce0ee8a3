// Package execution decides whether a backend server may have started a request.
//
// The invariant: a request may have run from the moment at which an attempt of it is handed over for sending, until there is proof
// for each of its attempts that no server has started it. Nothing else allows an answer that says "not run".
package execution

// Record counts the attempts of a request that may have run. The zero value is a request that was never sent.
type Record struct {
	// unproved is the number of attempts without proof that no server has started the request in them: those in progress, and
	// the ended ones that may have run. ended is the number of the latter.
	unproved, ended int
}

// Sent records that an attempt is handed over for sending.
func (r *Record) Sent() { r.unproved++ }

// NotRun records the proof that no server has started the request in an attempt, and never will: nothing of it was sent, or the
// server has said so in its answer to that attempt.
func (r *Record) NotRun() { r.unproved-- }

// Ended records that an attempt has ended without such proof.
func (r *Record) Ended() { r.ended++ }

// MayHaveRun reports whether a server may have started the request, or may still do so.
func (r *Record) MayHaveRun() bool { return r.unproved > 0 }

// Runs returns the number of ended attempts in which a server may have started the request.
func (r *Record) Runs() int { return r.ended }
