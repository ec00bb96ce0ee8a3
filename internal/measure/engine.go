package measure

import (
	"container/list"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// The fake engine's speeds in tokens a second, and the multiple of its mean load at which
// it runs at half speed: continuous batching shares one accelerator between the requests.
const (
	prefillRate         = 8000.0
	decodeRate          = 60.0
	halfSpeedLoadFactor = 5.0
)

const (
	// reportLag is the age of the load that an engine reports in the chat scenarios.
	reportLag = 2 * time.Second
	// sampleInterval is the interval between two samples of an engine's load.
	sampleInterval = 100 * time.Millisecond
	// historySize is the number of samples that the baselines keep.
	historySize = int(reportLag / sampleInterval)
)

// EngineSpeed holds the speed of an engine and the delay of its load report.
type EngineSpeed struct {
	// Prefill and Decode are the tokens a second of a request that runs alone.
	Prefill, Decode float64
	// HalfSpeedAt is the number of concurrent requests at which each runs at half speed.
	HalfSpeedAt float64
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration
	// PrefillSlowdown is the relative increase in the duration of a decode step while the
	// engine is fully occupied with prefill.
	PrefillSlowdown float64
}

func (s *Scenario) engineSpeed() EngineSpeed {
	if s.Engine.Prefill > 0 {
		return s.Engine
	}
	return EngineSpeed{Prefill: prefillRate, Decode: decodeRate, HalfSpeedAt: halfSpeedLoadFactor * s.TargetLoad, ReportLag: reportLag}
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
	// history holds the load samples of the last ReportLag, the oldest at nextSample.
	history    []int
	nextSample int
	// prefillEnd is when the prefill of all queued prompts ends. prefillShare is the share
	// of the recent time that was spent on prefill. Only session requests use them.
	prefillEnd   time.Duration
	prefillShare float64
}

func (s *server) load() int { return len(s.running) }

// reported returns the load in the engine's delayed report.
func (s *server) reported() int { return s.history[s.nextSample] }

// member returns the entry of this backend server in the platform's list.
func (s *server) member() membership.Member {
	return membership.Member{
		Name: s.name, Role: membership.RoleBackend, Service: serviceName, Zone: s.zone, Address: s.name,
		Incarnation: s.incarnation, State: s.state,
	}
}

func (s *server) sampleLoad() {
	s.history[s.nextSample] = s.load()
	s.prefillShare *= prefillDecay
	s.nextSample = (s.nextSample + 1) % len(s.history)
}

// start runs a turn and returns the times until its first token and until its end.
func (s *server) start(t *turn, now time.Duration) (first, end time.Duration) {
	t.cachedTokens = min(t.prefix, s.cache.get(t.chat))
	slowdown := 1 + float64(s.load())/s.speed.HalfSpeedAt
	t.runningIndex = len(s.running)
	s.running = append(s.running, t)
	if t.chat.kind != nil {
		return s.startSerialPrefill(t, now, slowdown)
	}
	first = seconds(slowdown * float64(t.prefix+t.fresh-t.cachedTokens) / s.speed.Prefill)
	return first, first + seconds(slowdown*float64(t.output)/s.speed.Decode)
}

// The cost of prefill to the running streams: an engine processes one prompt after the
// other, in chunks between its decode steps, and a step with a chunk takes longer.
const (
	// prefillWindow is the time over which the share of prefill is averaged, about a third
	// of a stream's duration. prefillDecay is the factor by which it decays each
	// sampleInterval.
	prefillWindow = 300 * time.Millisecond
	prefillDecay  = 0.7
)

// startSerialPrefill is the variant of start for an engine that prefills one prompt after the
// other. In a fleet with cold caches this overloads the backend servers whose sessions
// have long prompts: their prefill queues grow, and requests stay in progress longer.
func (s *server) startSerialPrefill(t *turn, now time.Duration, slowdown float64) (first, end time.Duration) {
	prefill := seconds(float64(t.prefix+t.fresh-t.cachedTokens) / s.speed.Prefill)
	s.prefillEnd = max(s.prefillEnd, now) + prefill
	first = s.prefillEnd - now
	slowdown *= 1 + s.speed.PrefillSlowdown*min(1, s.prefillShare)
	s.prefillShare += float64(prefill) / float64(prefillWindow)
	return first, first + seconds(slowdown*float64(t.output)/s.speed.Decode)
}

func (s *server) stop(t *turn) {
	last := s.running[len(s.running)-1]
	s.running[t.runningIndex], last.runningIndex = last, t.runningIndex
	s.running = s.running[:len(s.running)-1]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefixCache is an LRU cache of chat prefixes, limited by their total tokens.
type prefixCache struct {
	limit, used int
	order       *list.List
	byChat      map[*chat]*list.Element
}

type cacheEntry struct {
	chat   *chat
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byChat: make(map[*chat]*list.Element)}
}

func (c *prefixCache) get(ch *chat) int {
	if e := c.byChat[ch]; e != nil {
		return e.Value.(*cacheEntry).tokens
	}
	return 0
}

func (c *prefixCache) put(ch *chat, tokens int) {
	if e := c.byChat[ch]; e != nil {
		c.used += tokens - e.Value.(*cacheEntry).tokens
		e.Value.(*cacheEntry).tokens = tokens
		c.order.MoveToFront(e)
	} else {
		c.byChat[ch] = c.order.PushFront(&cacheEntry{chat: ch, tokens: tokens})
		c.used += tokens
	}
	for c.used > c.limit && c.order.Len() > 0 {
		e := c.order.Back()
		v := c.order.Remove(e).(*cacheEntry)
		delete(c.byChat, v.chat)
		c.used -= v.tokens
	}
}
