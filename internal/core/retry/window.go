package retry

import "time"

const (
	// Period is the period over which a limited budget counts requests and retries.
	Period = 10 * time.Second
	// slotTime is the time that a slot of the window covers.
	slotTime = 500 * time.Millisecond
	// requestSlots is the number of slots that lie within the period, and retrySlots that of slots that cover it, so
	// that neither the requests are counted for too long nor the retries for too short a time.
	requestSlots = int64(Period / slotTime)
	retrySlots   = requestSlots + 1
)

// window counts the requests and the retries of the last period.
type window struct {
	slots [retrySlots]slot
	// last is the number of the slot in use, counted from the Unix epoch.
	last int64
}

// slot holds the counts of one slotTime.
type slot struct{ requests, retries int }

func (w *window) current() *slot { return &w.slots[w.last%retrySlots] }

// advance moves the window to a time, and clears the slots in between.
func (w *window) advance(now time.Time) {
	to := now.UnixNano() / int64(slotTime)
	if to-w.last > retrySlots {
		w.slots, w.last = [retrySlots]slot{}, to
		return
	}
	for w.last < to {
		w.last++
		*w.current() = slot{}
	}
}

// counts returns the requests and the retries in the window.
func (w *window) counts() (requests, retries int) {
	for i := range retrySlots {
		s := w.slots[(w.last+i+1)%retrySlots]
		retries += s.retries
		if i > 0 {
			requests += s.requests
		}
	}
	return requests, retries
}

// refund takes back the latest retry.
func (w *window) refund() {
	for i := range retrySlots {
		s := &w.slots[(w.last+retrySlots-i)%retrySlots]
		if s.retries > 0 {
			s.retries--
			return
		}
	}
}

// untilOldestEnds returns the time until the oldest retry leaves the window, emptyPause if there is none.
func (w *window) untilOldestEnds() time.Duration {
	for i := range retrySlots {
		if w.slots[(w.last+i+1)%retrySlots].retries > 0 {
			return time.Duration(i+1) * slotTime
		}
	}
	return emptyPause
}
