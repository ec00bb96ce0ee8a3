// Package peerask keeps the questions that an instance has sent to others on behalf of its requests, and the instances or servers
// that it does not ask for a while. The protocols that borrow slots and retries and that ask for permits share it.
package peerask

import (
	"maps"
	"slices"
)

// tokensPerProcess is the number of tokens after which those of one process may be those of another.
const tokensPerProcess = 1 << 16

// Questions holds the questions without an answer, each with its subject, a T. Its zero value is empty. It is not safe for
// concurrent use.
type Questions[T any] struct {
	lastToken uint64
	open      map[uint64]question[T]
}

type question[T any] struct {
	peer  string
	about T
}

// New returns the questions of a process. incarnation is that of the process: a peer may answer a question of the process that had
// this instance's name before it, and its token must not be that of another question.
func New[T any](incarnation uint64) Questions[T] {
	return Questions[T]{lastToken: incarnation % tokensPerProcess * tokensPerProcess}
}

// Ask records a question to a peer and returns its token, which identifies it among the questions of this instance.
func (q *Questions[T]) Ask(peer string, about T) uint64 {
	if q.open == nil {
		q.open = make(map[uint64]question[T])
	}
	q.lastToken++
	q.open[q.lastToken] = question[T]{peer, about}
	return q.lastToken
}

// Take forgets the question that a peer's answer belongs to, and returns what it was about. It reports false if no such question
// is open: the answer may be late, a duplicate, or from a peer that was not asked.
func (q *Questions[T]) Take(peer string, token uint64) (T, bool) {
	asked, ok := q.open[token]
	if !ok || asked.peer != peer {
		var none T
		return none, false
	}
	delete(q.open, token)
	return asked.about, true
}

// To returns what the open questions to a peer are about, in the order in which they were asked.
func (q *Questions[T]) To(peer string) []T {
	var list []T
	for _, token := range slices.Sorted(maps.Keys(q.open)) {
		if asked := q.open[token]; asked.peer == peer {
			list = append(list, asked.about)
		}
	}
	return list
}

// DeleteFunc forgets the open questions for which ended returns true.
func (q *Questions[T]) DeleteFunc(ended func(about T) bool) {
	maps.DeleteFunc(q.open, func(_ uint64, asked question[T]) bool { return ended(asked.about) })
}
