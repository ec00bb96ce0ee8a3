package core

import (
	"slices"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/headroom"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// attempt is one attempt of a request.
type attempt struct {
	// number counts the request's attempts from 1.
	number int
	// running is set while the attempt is in progress.
	running bool
	sentAt  time.Time
	// backend and address identify the backend server.
	backend string
	address string
	// zone is the backend server's availability zone.
	zone string
	// continuesRun is set if the attempt asks a backend server for the rest of what it already runs.
	continuesRun bool
	// withdrawn is set once the proxy was told to send nothing of it any more.
	withdrawn bool
	// version is the version of its software, as far as this instance knew when it sent the attempt.
	version string
	// placement is the placement hint for the response.
	placement string
	// loan is the borrowed slot on which the attempt runs, nil if it needs none.
	loan *headroom.Loan
	// charged is set if the attempt was charged to the retry budget before it was known whether it would be sent.
	charged bool
	// silent is set once the server has sent nothing for the attempt's timeout.
	silent bool
	// faulty is set once its server has sent bytes that are no response.
	faulty bool
	// outcomeCounted is set once the attempt was counted as a success or a failure of its server.
	outcomeCounted bool
	// run is what the poison tracker knows of the attempt while it is one of those in request.others.
	run poison.Run
}

// selectAttempt makes an attempt in progress the one that the request's fields describe, and reports whether there is one
// with that number.
func (r *request) selectAttempt(number int) bool {
	if r.running && r.number == number {
		return true
	}
	i := slices.IndexFunc(r.others, func(a attempt) bool { return a.number == number })
	if i < 0 {
		return false
	}
	other := r.others[i]
	r.others = slices.Delete(r.others, i, i+1)
	if r.running {
		r.setAside()
	}
	r.attempt, r.poison.Run = other, other.run
	return true
}

// setAside moves the attempt that the request's fields describe to the others in progress.
func (r *request) setAside() {
	r.run = r.poison.Run
	r.others = append(r.others, r.attempt)
	r.attempt = attempt{}
}

// inProgress returns the number of attempts in progress.
func (r *request) inProgress() int {
	if r.running {
		return len(r.others) + 1
	}
	return len(r.others)
}

// backendsInProgress returns the servers of the attempts in progress.
func (r *request) backendsInProgress() []string {
	names := []string{r.backend}
	for _, a := range r.others {
		names = append(names, a.backend)
	}
	return names
}

// recordLastEvent records the event after which the stream of a broken attempt can go on, "" if it cannot. The end of an
// attempt that had delivered less may be reported later. While another attempt is in progress, an engine that refused to
// resume its stream may hold it all the same.
func (r *request) recordLastEvent(id string) {
	if r.route == nil && len(r.others) == 0 {
		r.resumeAfter = id
		return
	}
	if eventNumber(id) > eventNumber(r.resumeAfter) {
		r.resumeAfter = id
	}
}

// eventNumber returns the number of an event ID, -1 if there is none.
func eventNumber(id string) int64 {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return number
}

// sentTo reports whether an attempt of the request was sent to a process after a time.
func (r *request) sentTo(process streams.Process, after time.Time) bool {
	server := poison.Server{Name: process.Server, Incarnation: process.Incarnation}
	if r.poison.Start == server && r.sentAt.After(after) {
		return true
	}
	return slices.ContainsFunc(r.others, func(a attempt) bool { return a.run.Start == server && a.sentAt.After(after) })
}
