// Package hedge decides whether a further attempt of a request, a hedge, is started beside those in progress, and after
// which time without bytes the server of an attempt counts as silent.
//
// A server that is paused cannot be told in time from one that hangs or is cut off. So a hedge ends no attempt: whichever
// delivers first wins.
package hedge

// Target is where a hedge may be sent.
type Target string

// The targets of a hedge.
const (
	// None means that no hedge may be sent.
	None Target = "none"
	// SameServer means that the server of the silent attempt is asked for the rest on another connection.
	SameServer Target = "same-server"
	// AnotherServer means that a server that has not been tried may serve the request.
	AnotherServer Target = "another-server"
)

// Request is the state of a request with a silent attempt.
type Request struct {
	// OwnInterface is set for a request of the fleet's own interface. Its streams go on at their own servers only, and nobody
	// says how long its responses may take.
	OwnInterface bool
	// OthersBusy is set if another attempt in progress is not silent.
	OthersBusy bool
	// Attempts counts the attempts so far, and Runs those that have run or may be running.
	Attempts, MaxAttempts int
	Runs, MaxRuns         int
	// Repeatable is set if the request may run again, and Resumable if another server may go on with its stream.
	Repeatable, Resumable bool
	// ResponseStarted is set once a response has begun.
	ResponseStarted bool
}

// Silence describes an attempt that brings the response no further.
type Silence struct {
	// HasEvents is set if the caller has events of the stream, after which it can go on.
	HasEvents bool
	// Stuck is set if the server sends bytes that bring the response no further.
	Stuck bool
}

// Target returns where a further attempt of the request may be sent beside those in progress.
func (r *Request) Target(s Silence) Target {
	switch {
	case r.OthersBusy, r.Attempts >= r.MaxAttempts:
		return None
	case r.OwnInterface && s.HasEvents:
		return SameServer
	case r.OwnInterface && !s.Stuck:
		return None
	case !r.Repeatable, r.Runs >= r.MaxRuns:
		return None
	case r.ResponseStarted && (!r.Resumable || !s.HasEvents):
		return None
	default:
		return AnotherServer
	}
}
