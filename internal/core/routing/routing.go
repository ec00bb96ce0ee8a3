// Package routing ranks the backend servers of a service for a chat and walks the
// ranking to the first one under the load bound.
package routing

import (
	"math"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// Candidate is one backend server that may be chosen.
type Candidate struct {
	Name    string
	Address string
	Zone    string
	// Hash is the rendezvous hash of the name, computed once.
	Hash uint64
	// Load is the estimate of its requests in progress.
	Load float64
}

// Limit is the load up to which a backend server may be given one more request:
// bound times the mean once the new request is counted, and never under one.
func Limit(bound, total float64, n int) float64 {
	return max(1, math.Ceil(bound*(total+1)/float64(n)))
}

// Pick returns the index of the highest ranked candidate under the limit, or -1.
func Pick(chat uint64, candidates []Candidate, limit float64) int {
	best, bestScore := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Load+1 > limit {
			continue
		}
		s := rendezvous.Score(chat, c.Hash)
		if best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
