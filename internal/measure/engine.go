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

// reportLag is how late a backend server's report tells its load.
const (
	reportLag   = 2 * time.Second
	historyStep = 100 * time.Millisecond
	historySize = int(reportLag / historyStep)
)

// server is a small fake of a model engine: a prefix cache of limited size, a
// service rate and a report that lags.
type server struct {
	name        string
	hash        uint64
	zone        string
	incarnation uint64
	state       membership.State
	// listed is what the platform's late list says.
	listed    membership.Instance
	halfSpeed float64
	cache     *prefixCache
	running   []*turn
	// history holds the loads of the last reportLag, the oldest at next.
	history [historySize]int
	next    int
}

func (s *server) load() int { return len(s.running) }

// reported is the load as the engine's own late report tells it.
func (s *server) reported() int { return s.history[s.next] }

func (s *server) instance() membership.Instance {
	return membership.Instance{
		Name: s.name, Role: membership.Backend, Service: serviceName, Zone: s.zone, Address: s.name,
		Incarnation: s.incarnation, State: s.state,
	}
}

func (s *server) record() {
	s.history[s.next] = s.load()
	s.next = (s.next + 1) % historySize
}

// start runs a turn and returns when its first token comes and when it ends.
func (s *server) start(t *turn) (first, end time.Duration) {
	t.cached = min(t.prefix, s.cache.get(t.chat))
	slow := 1 + float64(s.load())/s.halfSpeed
	t.index = len(s.running)
	s.running = append(s.running, t)
	first = seconds(slow * float64(t.prefix+t.fresh-t.cached) / prefillRate)
	return first, first + seconds(slow*float64(t.output)/decodeRate)
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
