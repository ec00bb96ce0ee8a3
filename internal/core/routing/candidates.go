package routing

// Candidates are the backend servers of a service that may be chosen.
type Candidates []Candidate

// QueuePerSlot is the number of requests that may queue at a backend server for each that it
// runs. With one, a request waits about as long as another one runs. With more, all queued
// requests would only finish late.
const QueuePerSlot = 1

// Warm reports whether the candidate is usable and needs no permits.
func (c *Candidate) Warm() bool { return c.Usable() && !c.Cold }

// RunnableRequests returns the number of requests that the candidate runs concurrently, derived from its capacity if it does not report
// its slots.
func (c *Candidate) RunnableRequests() float64 {
	if c.Slots > 0 {
		return c.Slots
	}
	return c.Capacity / (1 + QueuePerSlot)
}

// Load returns the load of the candidates for which include returns true.
func (list Candidates) Load(include func(*Candidate) bool) Load {
	var load Load
	for i := range list {
		if c := &list[i]; include(c) {
			load.Total += c.Load
			load.Servers++
		}
	}
	return load
}

// Capacity returns the total capacity of a number of servers, each taken at the mean capacity of the candidates.
func (list Candidates) Capacity(servers float64) float64 {
	sum := 0.0
	for i := range list {
		sum += list[i].Capacity
	}
	return sum * servers / float64(max(1, len(list)))
}

// Queue reports whether the warm candidates have at least as many requests as they run concurrently.
func (list Candidates) Queue() bool {
	load, slots := 0.0, 0.0
	for i := range list {
		if c := &list[i]; c.Warm() {
			load += c.Load
			slots += c.RunnableRequests()
		}
	}
	return slots > 0 && load >= slots
}
