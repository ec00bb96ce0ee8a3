// Package hintshare tracks which customers' callers send placement hints back.
package hintshare

const (
	// window is the window of the moving average, in turns.
	window = 64
	// minShare is the share from which a customer counts as sending hints.
	minShare = 0.25
)

// Shares holds, for each customer, the moving average of the share of turns that came with a valid hint.
// Without it, a first turn, which any backend server may serve, could not be told from a later turn of a chat
// whose caller sends no hints; such a turn finds its cached prefix only through the ranking. It holds at
// most one entry per customer of the configuration.
type Shares map[string]float64

// Record updates a customer's share with one turn.
func (s Shares) Record(customer string, hinted bool) {
	value := 0.0
	if hinted {
		value = 1
	}
	s[customer] += (value - s[customer]) / window
}

// SendsHints reports whether the customer's callers send hints.
func (s Shares) SendsHints(customer string) bool { return s[customer] >= minShare }

// Prune drops the customers that are not known any more.
func (s Shares) Prune(known func(customer string) bool) {
	for customer := range s {
		if !known(customer) {
			delete(s, customer)
		}
	}
}
