// Package headroom bounds the rejections of backend servers that must not reject requests.
//
// A server may announce how many requests it can reject within a second for lack of room: it
// fails if it must reject more. All instances share that number, so with hundreds of them not even one
// rejection per instance can be had, and their knowledge of a server's load is too old to fill its last
// slots. The bound therefore rests on what is sent:
//
//   - While the mean load is so low that chance rarely fills a server, instances send as usual.
//   - Above that, where each instance has some slots to itself, the slots are dealt out. An instance
//     needs to know only its own requests to stay within its own.
//   - An instance without a free slot of its own borrows one from its owner: it may get more requests than others.
//     Where there are fewer slots than instances, it does so also while there is room.
package headroom

import (
	"math"
	"time"
)

const (
	// announcementTTL is the time for which an announcement counts if no answer arrives that shows
	// whether it still holds. Servers that have failed answer nothing for seconds, and must not be
	// flooded when they are back.
	announcementTTL = time.Minute
	// tightHold is the time for which slots stay dealt out after a sign that there is little room. Loads
	// that are known late would otherwise make all instances send as usual again and again.
	tightHold = 3 * time.Second
	// deviations is the number of standard deviations between the mean load and a server's slots at
	// which it is rarely full. The number of requests at a server varies like a Poisson variable.
	deviations = 2.5
	// freeUse is the part of its fair share of the slots up to which an instance sends as usual. In a
	// surge each instance passes it before any load report shows the surge.
	freeUse = 0.5
	// dealtShare is the part of a server's slots that is dealt out. The rest absorbs requests of
	// instances that do not yet deal, or deal by another list of instances.
	dealtShare = 0.75
	// minFairShare is the number of slots per instance from which they are dealt out.
	minFairShare = 2
)

// Tracker tracks which services are limited: their servers announce a limit. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
}

// service is a limited service.
type service struct {
	announcedAt time.Time
	// tightAt is the time of the last sign that there is little room.
	tightAt time.Time
}

// New returns a tracker without limited services.
func New() *Tracker { return &Tracker{services: make(map[string]*service)} }

// Answered records an answer of a service, to an attempt sent at sentAt, with the limit that it
// announces, 0 if none. It reports whether the service has become limited or is no longer so. An
// answer to an attempt sent before the last announcement may have begun before that.
func (t *Tracker) Answered(name string, limit int, sentAt, now time.Time) bool {
	was := t.IsLimited(name, now)
	switch {
	case limit > 0 && !was:
		t.services[name] = &service{announcedAt: now}
	case limit > 0:
		t.services[name].announcedAt = now
	case was && sentAt.After(t.services[name].announcedAt):
		delete(t.services, name)
	}
	return was != t.IsLimited(name, now)
}

// IsLimited reports whether the servers of a service announce a limit.
func (t *Tracker) IsLimited(name string, now time.Time) bool {
	s := t.services[name]
	return s != nil && now.Sub(s.announcedAt) < announcementTTL
}

// SeemsFull records a sign that there is little room at a service: a server rejected a request, or an instance asks for
// a slot. An instance that gets few requests itself would else learn only from late loads that another one fills
// the servers.
func (t *Tracker) SeemsFull(name string, now time.Time) {
	if s := t.services[name]; s != nil {
		s.tightAt = now
	}
}

// Expire forgets the services that are no longer limited.
func (t *Tracker) Expire(now time.Time) {
	for name := range t.services {
		if !t.IsLimited(name, now) {
			delete(t.services, name)
		}
	}
}

// Service is a limited service as an instance sees it at one placement.
type Service struct {
	Name string
	// Index is the instance's position among the live instances in the order of their names, and
	// Instances their number.
	Index, Instances int
	// Servers is the number of usable servers, and Slots the sum of their slots.
	Servers, Slots int
	// Load is the estimated number of requests at all servers, and Own the instance's part of it.
	Load float64
	Own  int
}

// fairShare returns the number of slots per instance.
func (s *Service) fairShare() float64 { return float64(s.Slots) / float64(s.Instances) }

func (s *Service) meanLoad() float64 { return s.Load / float64(s.Servers) }

// safeMeanLoad returns the mean load up to which a server with the mean number of slots is rarely
// full. It solves m + deviations*sqrt(m) + 1 = slots.
func (s *Service) safeMeanLoad() float64 {
	slots := float64(s.Slots) / float64(s.Servers)
	root := (math.Sqrt(deviations*deviations+4*max(0, slots-1)) - deviations) / 2
	return root * root
}

// Server is one of a limited service's backend servers.
type Server struct {
	// Hash is a hash of the server's name, the same at all instances.
	Hash uint64
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Load is its estimated number of requests, and Own the instance's part of it.
	Load float64
	Own  int
	// Lent is the number of the instance's slots that others have borrowed, and Borrowed the part of Own that
	// runs on slots of others.
	Lent, Borrowed int
}

// Rule decides to which servers a request may be sent.
type Rule int

// The rules.
const (
	// AnyFree permits the servers that have a free slot by the estimate.
	AnyFree Rule = iota
	// OwnSlots permits the servers at which the instance has a free slot of its own.
	OwnSlots
	// BorrowedSlots is OwnSlots where others lend theirs.
	BorrowedSlots
)

// RuleFor returns the rule for the next request of a service.
func (t *Tracker) RuleFor(s *Service, now time.Time) Rule {
	state := t.services[s.Name]
	if state == nil || s.Servers == 0 || s.Slots == 0 {
		return AnyFree
	}
	if s.fairShare() < minFairShare {
		return BorrowedSlots
	}
	if s.meanLoad() > s.safeMeanLoad() || float64(s.Own) >= freeUse*s.fairShare() {
		state.tightAt = now
	}
	if now.Sub(state.tightAt) < tightHold {
		return OwnSlots
	}
	return AnyFree
}

// Permits reports whether a request may be sent to a server under the rule.
func (r Rule) Permits(server *Server, s *Service) bool {
	switch r {
	case AnyFree:
		return server.Load+1 <= float64(server.Slots)
	default:
		return s.HasFreeSlot(server)
	}
}

// HasFreeSlot reports whether a slot of a server is the instance's own and free.
func (s *Service) HasFreeSlot(server *Server) bool {
	return server.Own-server.Borrowed+server.Lent < s.quota(server)
}

// quota returns the number of a server's slots that belong to the instance. The dealt slots go to
// consecutive instances from one that the server's hash selects.
func (s *Service) quota(server *Server) int {
	dealt := server.dealtSlots()
	quota := dealt / s.Instances
	offset := (s.Index - s.firstOwner(server) + s.Instances) % s.Instances
	if offset < dealt%s.Instances {
		quota++
	}
	return quota
}

func (server *Server) dealtSlots() int { return int(math.Ceil(dealtShare * float64(server.Slots))) }

// firstOwner returns the index of the instance from which a server's slots are dealt out.
func (s *Service) firstOwner(server *Server) int { return int(server.Hash % uint64(s.Instances)) }

// Owners returns the indexes of the instances that own a slot of a server.
func (s *Service) Owners(server *Server) []int {
	owners := make([]int, min(server.dealtSlots(), s.Instances))
	for i := range owners {
		owners[i] = (s.firstOwner(server) + i) % s.Instances
	}
	return owners
}
