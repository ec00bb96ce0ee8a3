package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
)

// SessionKind is a kind of request whose prompts begin with the tokens of a session.
type SessionKind struct {
	Name string
	// Rate is the number of requests a second in the whole fleet.
	Rate float64
	// Sessions is the number of sessions. The rate of the n-th is proportional to n^-Skew.
	Sessions int
	Skew     float64
	// Shared and Fresh are the mean numbers of a prompt's tokens that belong to the session
	// and to the request alone.
	Shared, Fresh float64
	// Output is the mean number of tokens generated.
	Output float64
	// First is a part before those of the session, which requests of several kinds may share; "" for none.
	First string
	// EndsServers is set if the sessions' parts end each backend server that begins to answer a request with them.
	EndsServers bool
}

// The sigma of the log-normal sizes. The users' workload sheet gives the kinds below
// values of 0.4 to 0.7 (shared), 1.0 to 1.4 (fresh) and 0.44 to 1.4 (output).
const (
	sharedSigma = 0.6
	freshSigma  = 1.0
	outputSigma = 0.5
)

// lognormalMeanOne draws a log-normal value with a mean of 1.
func lognormalMeanOne(random *rand.Rand, sigma float64) float64 {
	return lognormalMedianOne(random, sigma) * math.Exp(-sigma*sigma/2)
}

// newSessions creates the sessions of a kind.
func (w *world) newSessions(k *SessionKind, kind int) []*chat {
	list := make([]*chat, k.Sessions)
	for i := range list {
		w.chatCount++
		random := rand.New(rand.NewPCG(w.Seed, uint64(w.chatCount)))
		list[i] = &chat{
			id: fmt.Sprintf("%s-%d-%d", k.Name, kind, i), number: w.chatCount, random: random, kind: k,
			customer: i % len(customerShares),
			tokens:   int(k.Shared * lognormalMeanOne(random, sharedSigma)),
		}
	}
	return list
}

// startSessions schedules the requests of every kind; the first come after StartupTime.
func (w *world) startSessions() {
	for i := range w.SessionKinds {
		k := &w.SessionKinds[i]
		list := w.newSessions(k, i)
		shares := make([]float64, len(list))
		sum := 0.0
		for n := range shares {
			sum += math.Pow(float64(n+1), -k.Skew)
			shares[n] = sum
		}
		random := rand.New(rand.NewPCG(w.Seed, uint64(i)+1<<32))
		w.after(w.StartupTime, func() { w.scheduleRequest(k, list, shares, random) })
	}
}

// scheduleRequest schedules the next request of a kind, which schedules its successor.
func (w *world) scheduleRequest(k *SessionKind, list []*chat, shares []float64, random *rand.Rand) {
	w.after(seconds(random.ExpFloat64()/k.Rate), func() {
		x := random.Float64() * shares[len(shares)-1]
		n := 0
		for shares[n] < x {
			n++
		}
		w.turnArrives(list[n].nextRequest())
		w.scheduleRequest(k, list, shares, random)
	})
}

// nextRequest draws the session's next request.
func (c *chat) nextRequest() *turn {
	c.turns++
	return &turn{
		chat: c, number: c.turns, prefix: c.tokens,
		fresh:  1 + int(c.kind.Fresh*lognormalMeanOne(c.random, freshSigma)),
		output: 1 + int(c.kind.Output*lognormalMeanOne(c.random, outputSigma)),
	}
}

// prompt returns the description of the prompt that the caller sends with the request.
func (t *turn) prompt() *core.Prompt {
	return &core.Prompt{
		Parts: []core.PromptPart{
			{ID: t.chat.id, Tokens: t.prefix},
			{ID: fmt.Sprintf("%s/%d", t.chat.id, t.number), Tokens: t.fresh},
		},
		Tokens: t.prefix + t.fresh, MaxOutput: 4 * t.output, OutputHint: t.output,
	}
}

// sharedParts returns the parts of the prompt that other requests hold too.
func (t *turn) sharedParts() []string {
	if t.chat.kind.First == "" {
		return []string{t.chat.id}
	}
	return []string{t.chat.kind.First, t.chat.id}
}

// sessionStartupTime is how long instances run before their first request: operators start
// them before the load balancer sends traffic.
const sessionStartupTime = 14 * time.Second

// coldSessionsScenario returns the scenario of a large fleet in three availability zones whose
// requests are dossier reviews, questions about dossiers and short screenings. Instances,
// engines, rates, sessions, tokens and the engines' memory are those of the users'
// workload sheet. An engine prefills 61,800 tokens a second and decodes one token per step of
// 3.09 ms. A step takes twice as long with 190 requests. The load report is 200 ms old.
func coldSessionsScenario(seed uint64) Scenario {
	return Scenario{
		Name: "sessions-cold", Seed: seed, Servers: 90, Routers: 91, Zones: 3, TargetLoad: 6, Capacity: 64,
		Bound: 2, Slack: 3, CacheTokens: 268_979,
		StartupTime: sessionStartupTime, Warmup: sessionStartupTime + time.Second, Duration: sessionStartupTime + 30*time.Second,
		Engine:   EngineSpeed{Prefill: 61_800, Decode: 320, HalfSpeedAt: 190, ReportLag: 200 * time.Millisecond, PrefillSlowdown: 4},
		Policies: []string{"rendezvous", "bound-exact", "ours"},
		SessionKinds: []SessionKind{
			{Name: "dossier", Rate: 172, Sessions: 200, Skew: 0.3, Shared: 10_512, Fresh: 1_300, Output: 380},
			{Name: "question", Rate: 219, Sessions: 571, Skew: 0.3, Shared: 699, Fresh: 130, Output: 290},
			{Name: "screening", Rate: 265, Sessions: 694, Skew: 0.3, Shared: 2_041, Fresh: 360, Output: 23},
		},
	}
}

// coldFeedstockScenario returns the scenario of a large fleet in four availability zones whose
// requests are digester histories, mix checks and notes to families. The figures are those
// of the users' workload sheet. An engine prefills 38,400 tokens a second and decodes one token per
// step of 5.23 ms, almost independent of its load. The load report is 100 ms old.
func coldFeedstockScenario(seed uint64) Scenario {
	return Scenario{
		Name: "feedstock-cold", Seed: seed, Servers: 60, Routers: 80, Zones: 4, TargetLoad: 5, Capacity: 64,
		Bound: 2, Slack: 3, CacheTokens: 186_994,
		StartupTime: sessionStartupTime, Warmup: sessionStartupTime, Duration: sessionStartupTime + 10*time.Second,
		Engine:   EngineSpeed{Prefill: 38_400, Decode: 191, HalfSpeedAt: 1_425, ReportLag: 100 * time.Millisecond},
		Policies: []string{"rendezvous", "bound-exact", "ours"},
		SessionKinds: []SessionKind{
			{Name: "history", Rate: 143, Sessions: 373, Skew: 0.3, Shared: 8_620, Fresh: 580, Output: 50},
			{Name: "check", Rate: 174, Sessions: 303, Skew: 0.3, Shared: 2_041, Fresh: 360, Output: 23},
			{Name: "note", Rate: 161, Sessions: 280, Skew: 0.3, Shared: 603, Fresh: 110, Output: 280},
		},
	}
}

// badPartScenario is the cold scenario with requests, five a second, whose session's part ends each backend server. They
// share their first part with all dossiers.
func badPartScenario(seed uint64) Scenario {
	s := coldSessionsScenario(seed)
	s.Name = "bad-part"
	s.SessionKinds[0].First = "library"
	s.SessionKinds = append(s.SessionKinds, SessionKind{
		Name: "bad", Rate: 5, Sessions: 1, Shared: 700, Fresh: 130, Output: 290, First: "library", EndsServers: true,
	})
	return s
}
