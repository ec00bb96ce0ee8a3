// Package routing ranks the backend servers of a service for a chat and walks the
// ranking to the first one under the load bound.
package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is one backend server that may be chosen.
type Candidate struct {
	Name    string
	Address string
	Zone    string
	// Hash is Hash(Name), computed once.
	Hash uint64
	// Load is the estimate of its requests in progress.
	Load float64
}

// Hash gives the hash by which names and chats are ranked. All instances must
// use the same one, or they disagree about a chat's place.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Score is the rendezvous weight of a backend server for a chat. A leaving
// server moves only its own chats, since the others' scores do not depend on it.
func Score(chat, backend uint64) uint64 {
	x := chat ^ (backend * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
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
		s := Score(chat, c.Hash)
		if best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
