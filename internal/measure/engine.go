package measure

import (
	"container/list"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// The fake engine's speeds in tokens a second, and the multiple of its mean load at which
// it runs at half speed: continuous batching shares one accelerator between the requests.
const (
	prefillRate = 8000.0
	decodeRate  = 60.0
	halfSpeedAt = 5.0
)

const (
	// reportLag is the age of the load that an engine reports in the chat scenarios.
	reportLag = 2 * time.Second
	// historyStep is the interval between two samples of an engine's load.
	historyStep = 100 * time.Millisecond
	// historySize is the number of samples that the baselines keep.
	historySize = int(reportLag / historyStep)
)

// EngineSpeed holds the speed of an engine and the delay of its load report.
type EngineSpeed struct {
	// Prefill and Decode are the tokens a second of a request that runs alone.
	Prefill, Decode float64
	// HalfAt is the number of concurrent requests at which each runs at half speed.
	HalfAt float64
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration
	// ReadingSlows is the relative increase in the duration of a decode step while the
	// engine is fully occupied with prefill.
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

// server is a fake model engine with a prefix cache of limited size, a service rate and
// a delayed load report.
type server struct {
	name        string
	hash        uint64
	zone        string
	incarnation uint64
	state       membership.State
	// listed is the entry in the platform's list, which lags behind state.
	listed  membership.Member
	speed   EngineSpeed
	cache   *prefixCache
	running []*turn
	// history holds the load samples of the last ReportLag, the oldest at next.
	history []int
	next    int
	// readUntil is when the prefill of all queued prompts ends. reading is the share of
	// the recent time that was spent on prefill. Only session requests use them.
	readUntil time.Duration
	reading   float64
}

func (s *server) load() int { return len(s.running) }

// reported returns the load in the engine's delayed report.
func (s *server) reported() int { return s.history[s.next] }

// instance returns the entry of this backend server in the platform's list.
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

// start runs a turn and returns the times until its first token and until its end.
func (s *server) start(t *turn, now time.Duration) (first, end time.Duration) {
	t.cached = min(t.prefix, s.cache.get(t.chat))
	slowdown := 1 + float64(s.load())/s.speed.HalfAt
	t.index = len(s.running)
	s.running = append(s.running, t)
	if t.chat.kind != nil {
		return s.startInTurn(t, now, slowdown)
	}
	first = seconds(slowdown * float64(t.prefix+t.fresh-t.cached) / s.speed.Prefill)
	return first, first + seconds(slowdown*float64(t.output)/s.speed.Decode)
}

// The cost of prefill to the running streams: an engine processes one prompt after the
// other, in chunks between its decode steps, and a step with a chunk takes longer.
const (
	// readingSpan is the time over which the share of prefill is averaged, about a third
	// of a stream's duration. readingKept is the factor by which it decays each historyStep.
	readingSpan = 300 * time.Millisecond
	readingKept = 0.7
)

// startInTurn is the variant of start for an engine that prefills one prompt after the
// other. In a fleet with cold caches this overloads the backend servers whose sessions
// have long prompts: their prefill queues grow, and requests stay in progress longer.
func (s *server) startInTurn(t *turn, now time.Duration, slowdown float64) (first, end time.Duration) {
	prefill := seconds(float64(t.prefix+t.fresh-t.cached) / s.speed.Prefill)
	s.readUntil = max(s.readUntil, now) + prefill
	first = s.readUntil - now
	slowdown *= 1 + s.speed.ReadingSlows*min(1, s.reading)
	s.reading += float64(prefill) / float64(readingSpan)
	return first, first + seconds(slowdown*float64(t.output)/s.speed.Decode)
}

func (s *server) stop(t *turn) {
	last := s.running[len(s.running)-1]
	s.running[t.index], last.index = last, t.index
	s.running = s.running[:len(s.running)-1]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefixCache is an LRU cache of chat prefixes, limited by their total tokens.
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
