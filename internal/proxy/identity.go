package proxy

import (
	"hash/maphash"
	"slices"
)

// Identity says which request a backend server's response names.
type Identity string

// The identities.
const (
	// NoResponse means that no response header was read.
	NoResponse Identity = ""
	// NamesNone means that the response names no request.
	NamesNone Identity = "none"
	// NamesThis means that the response names the request, of which the connection had carried no earlier attempt.
	NamesThis Identity = "this"
	// NamesRepeated means that the response names the request, but that it may answer an earlier attempt on the same connection:
	// all attempts of a request bear the same ID.
	NamesRepeated Identity = "repeated"
	// NamesOther means that the response names another request.
	NamesOther Identity = "other"
)

// Identities lists the identities of responses.
var Identities = []Identity{NamesNone, NamesThis, NamesRepeated, NamesOther}

// maxCarried is the number of requests after which a connection is not used again: it remembers 8 bytes for each.
const maxCarried = 1024

// carriedSeed keeps callers from choosing IDs with equal hashes.
var carriedSeed = maphash.MakeSeed()

// carriedRequests are the requests that a connection has carried, by the IDs that their responses name. The zero value is a
// new connection.
//
// They tell a stale response on the connection, one to an earlier request, from the response to the last one.
type carriedRequests struct {
	// keys hold a hash of each ID and, in the lowest bit, whether the request was a HEAD request.
	keys []uint64
	// head is set if any was a HEAD request, and processCheck if one asked for the server's report, whose response names no request.
	head, processCheck bool
}

// headBit marks the key of a HEAD request.
const headBit = 1

// carriedKey returns the key of a request of another method than HEAD.
func carriedKey(id string) uint64 { return maphash.String(carriedSeed, id) &^ headBit }

// add records that the connection carries a request.
func (c *carriedRequests) add(id string, head bool) {
	key := carriedKey(id)
	if head {
		key |= headBit
	}
	c.keys = append(c.keys, key)
	c.head = c.head || head
}

// addProcessCheck records that the connection carries a request for the server's report.
func (c *carriedRequests) addProcessCheck() {
	c.add("", false)
	c.processCheck = true
}

// has reports whether the connection may have carried a request with the ID.
func (c *carriedRequests) has(id string) bool { return c.find(id) >= 0 }

// find returns the index of the key of the request with the ID, -1 if there is none.
func (c *carriedRequests) find(id string) int {
	wanted := carriedKey(id)
	return slices.IndexFunc(c.keys, func(key uint64) bool { return key&^headBit == wanted })
}

// wasHead reports whether the request with the ID was a HEAD request. It is not certain if the connection has not carried the
// request, but has carried others of that kind.
func (c *carriedRequests) wasHead(id string) (head, certain bool) {
	i := c.find(id)
	if i < 0 {
		return false, !c.head
	}
	return c.keys[i]&headBit != 0, true
}

// unfitness returns the reason why the connection must not carry a request, or "" if it may.
func (c *carriedRequests) unfitness(id string) DialReason {
	switch {
	case c.has(id):
		return SameRequest
	case c.count() >= maxCarried:
		return UsedUp
	default:
		return ""
	}
}

// count returns the number of requests that the connection has carried.
func (c *carriedRequests) count() int { return len(c.keys) }

// responseOrigin tells where the response to an attempt comes from. The zero value is that of an attempt without one.
type responseOrigin struct {
	identity Identity
	// repeated is set if the connection had carried an earlier attempt of the request, and carried is the number of requests
	// that it had carried.
	repeated bool
	carried  int
	// skipped is the number of responses to other requests that came before the response.
	skipped int
}

// answersAttempt reports whether the response is certainly the answer to the attempt. One that names no request is if the
// connection had carried nothing else, neither a request nor a response.
func (o responseOrigin) answersAttempt() bool {
	return o.identity == NamesThis || o.identity == NamesNone && o.carried == 0 && o.skipped == 0
}

// identityOf returns the identity of a response that names an ID, "" for none, to a request with the ID own. Repeated is set if
// the connection had carried a request with that ID before.
func identityOf(named, own string, repeated bool) Identity {
	switch {
	case named == "":
		return NamesNone
	case named != own:
		return NamesOther
	case repeated:
		return NamesRepeated
	default:
		return NamesThis
	}
}
