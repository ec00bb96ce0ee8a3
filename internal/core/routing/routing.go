// Package routing ranks the backend servers of a service for a chat and chooses the
// highest-ranked one whose load is within the limits.
package routing

import (
	"math"
	"slices"

	"github.com/ebonydyke/ebonydyke/internal/core/rendezvous"
)

// Candidate is one backend server that may be chosen.
type Candidate struct {
	Name    string
	Address string
	Zone    string
	// Version is the version of its software, "" if it is unknown.
	Version string
	// Incarnation is the incarnation known to membership, or 0 if it is unknown.
	Incarnation uint64
	// Hash is the rendezvous hash of the name, computed once.
	Hash uint64
	// Load is the estimated number of its requests in progress.
	Load float64
	// Capacity is the maximum load. Slots is the number of requests that it processes
	// concurrently, or 0 if it does not report one.
	Capacity, Slots float64
	// MoreCapacity replaces Capacity as the maximum load if it is larger and the choice has a FillLimit.
	MoreCapacity float64
	// Slowness is how long work takes there at the moment as a multiple of the usual time, or 0 if it is not known.
	Slowness float64
	// OtherZone means that it is in another availability zone than this instance.
	OtherZone bool
	// Full means that this instance must not send it another request.
	Full bool
	// Unreachable means that this instance recently failed to connect to it.
	Unreachable bool
	// Ejected means that what it sends is no response.
	Ejected bool
	// Cold means that it warms up: each request to it must be permitted.
	Cold bool
	// WithheldShare is the fraction, under 1, of its share of requests that a flapping
	// backend server does not receive yet. It lowers the rank and refuses nothing: it has
	// no effect unless other backend servers have free capacity.
	WithheldShare float64
	// AbsentShare is the fraction of requests that must not prefer it yet, because its zone's evacuation has just ended.
	AbsentShare float64
}

// Usable reports whether nothing speaks against the candidate but its load.
func (c *Candidate) Usable() bool { return !c.Unreachable && !c.Ejected }

// Fill returns the load, with more requests, as a multiple of the slots, or 0 without slots. A server on a machine
// that is slow at the moment is filled by fewer requests.
func (c *Candidate) Fill(more float64) float64 {
	if c.Slots == 0 {
		return 0
	}
	return (c.Load + more) * max(1, c.Slowness) / c.Slots
}

// Choice is the input of one placement decision.
type Choice struct {
	// Chat is the hash by which the candidates are ranked.
	Chat uint64
	// Hinted is the index of the candidate that a valid hint names, or None.
	Hinted int
	// PreferOwnZone ranks this instance's availability zone before all others. It is meant
	// for requests that have no cached prefix on any backend server.
	PreferOwnZone bool
	// Tried holds the names of the backend servers where this request has failed. They
	// rank last rather than being excluded, so that a second attempt is possible in a pool
	// of one.
	Tried []string
	// Quiet holds the names of backend servers that may be silent, sorted. They rank after all that can be reached.
	Quiet  []string
	Limits Limits
	// MatchVersion excludes the candidates that do not have Version, and those named in Unverified, which
	// may not have it any more. It is set for a stream that began there.
	MatchVersion bool
	Version      string
	Unverified   []string
	// NewVersions are versions that rank lower than others.
	NewVersions []string
	// ZoneAllowed excludes the candidates of zones for which it returns false; nil excludes none.
	ZoneAllowed func(zone string) bool
	// Draw is a random number in [0, 1). A backend server whose fill exceeds FillLimit is
	// ranked lower if Draw is above FillLimit divided by the fill, that is, for the fraction
	// of requests that exceeds the limit.
	Draw float64
	// FillLimit is the fill up to which a backend server is not ranked lower; see Candidate.Fill.
	FillLimit float64
	// AbsentDraw is a random number in [0, 1). A backend server whose AbsentShare exceeds it is ranked lower, and ignored as hinted.
	AbsentDraw float64
	// WithinSlots prefers candidates with a free slot to those that rank higher and would queue the request, unless the mean load is
	// above the slots.
	WithinSlots bool
	// TryUnreachable permits a candidate that cannot be reached although another one can be and is only full.
	TryUnreachable bool
	// SpreadBelow is set for requests that many instances place at the same moment, before any of them sees where the
	// others' go. They are spread over all candidates by how far the load of each is below it.
	SpreadBelow float64
	// reachableOnly excludes the candidates that cannot be reached.
	reachableOnly bool
	// excluded reports which candidates must not be chosen, if it is set.
	excluded func(*Candidate) bool
}

// None is the index for no candidate.
const None = -1

// Rank bits. A candidate with a lower rank is chosen before one with a higher rank,
// regardless of their scores.
const (
	rankOtherZone = 1 << iota
	rankOverInner
	rankWithheld
	rankNewVersion
	rankQuiet
	rankUnreachable
	rankTried
	rankLast
)

// Pick returns the index of the chosen candidate, or None if every one exceeds its
// capacity or the outer limit. Candidates must be sorted by name.
//
// A candidate that cannot be reached has no room while another one is only full: its load looks low because
// nothing runs there.
func Pick(candidates []Candidate, choice *Choice) int {
	if choice.Hinted >= 0 && choice.hintUsable(&candidates[choice.Hinted]) && !choice.excludes(&candidates[choice.Hinted]) {
		return choice.Hinted
	}
	best := pick(candidates, choice)
	if best == None || !candidates[best].Unreachable || choice.TryUnreachable || !choice.anyIsOnlyFull(candidates) {
		return best
	}
	reachable := *choice
	reachable.reachableOnly = true
	return pick(candidates, &reachable)
}

// pick returns the index of the best candidate.
//
// One pass finds the candidate with the highest score in the lowest rank, which is the one
// that sorting by rank and score would put first.
func pick(candidates []Candidate, choice *Choice) int {
	if choice.SpreadBelow > 0 {
		return spread(candidates, choice)
	}
	best, bestRank, bestScore := None, rankLast, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		rank := choice.rank(c)
		if rank > bestRank {
			continue
		}
		score := rendezvous.Score(choice.Chat, c.Hash)
		if rank == bestRank && best != None && score <= bestScore {
			continue
		}
		best, bestRank, bestScore = i, rank, score
	}
	return best
}

// minRoom is the room that a candidate without any counts as, so that the request goes somewhere.
const minRoom = 0.5

// spread returns the index of a candidate of the lowest rank, chosen with a probability in proportion to its room, by
// weighted rendezvous hashing.
func spread(candidates []Candidate, choice *Choice) int {
	best, bestRank, bestScore := None, rankLast, math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		rank := choice.rank(c)
		if rank > bestRank {
			continue
		}
		draw := rendezvous.Unit(rendezvous.Score(choice.Chat, c.Hash))
		score := math.Log(draw) / max(choice.SpreadBelow-c.Load, minRoom)
		if rank == bestRank && best != None && score <= bestScore {
			continue
		}
		best, bestRank, bestScore = i, rank, score
	}
	return best
}

func (ch *Choice) isQuiet(c *Candidate) bool {
	_, quiet := slices.BinarySearch(ch.Quiet, c.Name)
	return quiet
}

// rank returns the rank of a candidate, or more than rankLast if it must not be chosen.
func (ch *Choice) rank(c *Candidate) int {
	if !ch.hasRoom(c) || !ch.Permits(c) || ch.reachableOnly && c.Unreachable || ch.excludes(c) {
		return rankLast + 1
	}
	load := c.Load + 1
	rank := 0
	spread := ch.SpreadBelow > 0
	if !spread && load > ch.innerLimit(c) || c.Fill(1)*ch.Draw > ch.FillLimit {
		rank |= rankOverInner
	}
	if c.WithheldShare > 0 && load > ch.Limits.Inner*(1-c.WithheldShare) || c.AbsentShare > ch.AbsentDraw {
		rank |= rankWithheld
	}
	if slices.Contains(ch.NewVersions, c.Version) {
		rank |= rankNewVersion
	}
	if ch.isQuiet(c) {
		rank |= rankQuiet
	}
	if !c.Usable() {
		rank |= rankUnreachable
	}
	if c.OtherZone && ch.PreferOwnZone && !spread {
		rank |= rankOtherZone
	}
	if slices.Contains(ch.Tried, c.Name) {
		rank |= rankTried
	}
	return rank
}

// innerLimit returns the load above which other candidates are preferred to c.
func (ch *Choice) innerLimit(c *Candidate) float64 {
	if !ch.WithinSlots || c.Slots == 0 {
		return ch.Limits.Inner
	}
	return min(ch.Limits.Inner, max(c.Slots, ch.Limits.Mean))
}

func (ch *Choice) excludes(c *Candidate) bool { return ch.excluded != nil && ch.excluded(c) }

func (ch *Choice) hasRoom(c *Candidate) bool {
	load := c.Load + 1
	capacity := c.Capacity
	if ch.FillLimit > 0 {
		capacity = max(capacity, c.MoreCapacity)
	}
	return !c.Full && load <= capacity && load <= ch.Limits.Outer
}

// anyIsOnlyFull reports whether a candidate could be chosen if it had room.
func (ch *Choice) anyIsOnlyFull(candidates []Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		if !c.Unreachable && ch.Permits(c) && !ch.hasRoom(c) {
			return true
		}
	}
	return false
}

// Permits reports whether the request may run at the candidate, whatever its load: it has the version that the request needs, if it
// needs one, and its zone is allowed.
func (ch *Choice) Permits(c *Candidate) bool {
	if ch.ZoneAllowed != nil && !ch.ZoneAllowed(c.Zone) {
		return false
	}
	return !ch.MatchVersion || c.Version == ch.Version && !slices.Contains(ch.Unverified, c.Name)
}

func (ch *Choice) hintUsable(c *Candidate) bool {
	load := c.Load + 1
	if !ch.Permits(c) || slices.Contains(ch.NewVersions, c.Version) {
		return false
	}
	if c.AbsentShare > ch.AbsentDraw || load > ch.Limits.Hinted*(1-c.WithheldShare) || load > ch.Limits.Outer || load > c.Capacity {
		return false
	}
	return !c.Full && c.Usable() && !slices.Contains(ch.Tried, c.Name) && !ch.isQuiet(c)
}
