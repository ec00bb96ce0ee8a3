package measure

import (
	"container/list"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// The fake engine's speeds, in tokens a second, and at how many times its mean load
// it has become half as fast: continuous batching shares one accelerator.
const (
	prefillRate = 8000.0
	decodeRate  = 60.0
	halfSpeedAt = 5.0
)

const (
	// reportLag is how late the report of a chats' engine tells its load.
	reportLag = 2 * time.Second
	// historyStep is the time between two notes of an engine's load.
	historyStep = 100 * time.Millisecond
	// historySize is how far back the baselines know an engine's load.
	historySize = int(reportLag / historyStep)
)

// EngineSpeed is how fast an engine reads and writes.
type EngineSpeed struct {
	// Prefill and Decode are tokens a second of one request alone.
	Prefill, Decode float64
	// HalfAt is the number of requests at which each is half as fast.
	HalfAt float64
	// ReportLag is how late the engine's own report tells its load.
	ReportLag time.Duration
	// ReadingSlows is how much longer a step takes while the engine does nothing but
	// read prompts.
	ReadingSlows float64
}

func (s *Scenario) engineSpeed() EngineSpeed {
	if s.Engine.Prefill > 0 {
		return s.Engine
	}
	return EngineSpeed{Prefill: prefillRate, Decode: decodeRate, HalfAt: halfSpeedAt * s.Mean, ReportLag: reportLag}
}

func (s *Scenario) reportLag() time.Duration {
	return s.engineSpeed().ReportLag
}

// server is a small fake of a model engine: a prefix cache of limited size, a
// service rate and a report that lags.
type server struct {
	name        string
	hash        uint64
	zone        string
	incarnation uint64
	state       membership.State
	// listed is what the platform's late list says.
	listed  membership.Member
	speed   EngineSpeed
	cache   *prefixCache
	running []*turn
	// history holds the loads over the report's lag, the oldest at next.
	history []int
	next    int
	// readUntil is when the prompts that wait are read, and reading the part of the
	// last moments that went into reading: both for sessions alone.
	readUntil time.Duration
	reading   float64
}

func (s *server) load() int { return len(s.running) }

// reported is the load as the engine's own late report tells it.
func (s *server) reported() int { return s.history[s.next] }

func (s *server) instance() membership.Member {
	return membership.Member{
		Name: s.name, Role: membership.RoleBackend, Service: serviceName, Zone: s.zone, Address: s.name,
		Incarnation: s.incarnation, State: s.state,
	}
}

func (s *server) record() {
	s.history[s.next] = s.load()
	s.reading *= readingKept
	s.next = (s.next + 1) % len(s.history)
}

// start runs a turn and returns when its first token comes and when it ends.
func (s *server) start(t *turn, now time.Duration) (first, end time.Duration) {
	t.cached = min(t.prefix, s.cache.get(t.chat))
	slow := 1 + float64(s.load())/s.speed.HalfAt
	t.index = len(s.running)
	s.running = append(s.running, t)
	if t.chat.kind != nil {
		return s.startInTurn(t, now, slow)
	}
	first = seconds(slow * float64(t.prefix+t.fresh-t.cached) / s.speed.Prefill)
	return first, first + seconds(slow*float64(t.output)/s.speed.Decode)
}

// What reading prompts costs the streams: an engine reads one prompt after the other,
// in chunks between the steps that write, and such a step takes longer.
const (
	// readingSpan is over what time the reading is taken: about a third of a stream's
	// length. readingKept is what one historyStep leaves of it.
	readingSpan = 300 * time.Millisecond
	readingKept = 0.7
)

// startInTurn is start for an engine that reads prompts one after the other. In a
// fleet with cold caches that is what crowds servers: those whose sessions have long
// prompts fall behind, and their requests stay.
func (s *server) startInTurn(t *turn, now time.Duration, slow float64) (first, end time.Duration) {
	read := seconds(float64(t.prefix+t.fresh-t.cached) / s.speed.Prefill)
	s.readUntil = max(s.readUntil, now) + read
	first = s.readUntil - now
	slow *= 1 + s.speed.ReadingSlows*min(1, s.reading)
	s.reading += float64(read) / float64(readingSpan)
	return first, first + seconds(slow*float64(t.output)/s.speed.Decode)
}

func (s *server) stop(t *turn) {
	last := s.running[len(s.running)-1]
	s.running[t.index], last.index = last, t.index
	s.running = s.running[:len(s.running)-1]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefixCache keeps the prefixes of the chats used last, up to a number of tokens.
type prefixCache struct {
	limit, used int
	order       *list.List
	byChat      map[*chat]*list.Element
}

type cached struct {
	chat   *chat
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byChat: make(map[*chat]*list.Element)}
}

func (c *prefixCache) get(ch *chat) int {
	if e := c.byChat[ch]; e != nil {
		return e.Value.(*cached).tokens
	}
	return 0
}

func (c *prefixCache) put(ch *chat, tokens int) {
	if e := c.byChat[ch]; e != nil {
		c.used += tokens - e.Value.(*cached).tokens
		e.Value.(*cached).tokens = tokens
		c.order.MoveToFront(e)
	} else {
		c.byChat[ch] = c.order.PushFront(&cached{chat: ch, tokens: tokens})
		c.used += tokens
	}
	for c.used > c.limit && c.order.Len() > 0 {
		e := c.order.Back()
		v := c.order.Remove(e).(*cached)
		delete(c.byChat, v.chat)
		c.used -= v.tokens
	}
}
