package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// chat is one caller's chat: turns with pauses between them. It has its own random source,
// so that every policy receives the same chats.
type chat struct {
	id       string
	customer int
	random   *rand.Rand
	long     bool
	turns    int
	tokens   int
	hint     string
	number   int
	// kind is set for a session, whose requests are independent of each other and share
	// the session's tokens.
	kind *SessionKind
}

// turn is one request of a chat.
type turn struct {
	chat   *chat
	number int
	// prefix is the number of the chat's tokens before the turn, fresh the number that the
	// turn adds to the prompt.
	prefix, fresh, output int
	cachedTokens          int
	arrived               time.Duration
	router                *router
	server                *server
	attempt               int
	refusals              int
	runningIndex          int
	// failed is set when the core gave the turn up after a failed attempt, rather than
	// refuse it.
	failed bool
}

func (t *turn) id() string { return fmt.Sprintf("%s/%d/%d", t.chat.id, t.number, t.refusals) }

// cachedAfter returns the number of the chat's tokens that are cached after the turn.
func (t *turn) cachedAfter() int {
	if t.chat.kind != nil {
		return t.prefix
	}
	return t.prefix + t.fresh + t.output
}

// The distribution of the chats.
const (
	longChatShare   = 0.1
	longChatTurns   = 14
	longChatTokens  = 9000
	shortChatTurns  = 5
	shortChatTokens = 600
	freshTokens     = 150
	meanOutput      = 400
	// medianPause is the median pause between two turns of a chat. The share longPauseShare
	// of the pauses lasts longPause or more.
	medianPause    = 75 * time.Second
	longPauseShare = 0.03
	longPause      = time.Hour
	// expectedTurnTime is the approximate duration of a turn, from which rates are derived.
	expectedTurnTime = 8 * time.Second
)

// customerShares holds the customers' shares of the traffic outside a surge. A few
// customers account for most of it.
var customerShares = []float64{0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02}

// surgingCustomers holds the indexes of the customers that surge. They send 5% and 3% of the
// traffic, so that their tenfold surge adds 72%.
var surgingCustomers = map[int]bool{6: true, 8: true}

const surgeFactor = 10

func newChat(seed uint64, number int, customer int) *chat {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	c := &chat{id: fmt.Sprint("chat-", number), number: number, customer: customer, random: random}
	c.long = random.Float64() < longChatShare
	mean, tokens := float64(shortChatTurns), float64(shortChatTokens)
	if c.long {
		mean, tokens = longChatTurns, longChatTokens
	}
	c.turns = 1 + int(random.ExpFloat64()*(mean-1))
	c.tokens = int(tokens * lognormalMedianOne(random, 0.5))
	return c
}

// lognormalMedianOne draws a log-normal value with a median of 1.
func lognormalMedianOne(random *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma * random.NormFloat64())
}

func (c *chat) pause() time.Duration {
	if c.random.Float64() < longPauseShare {
		return time.Duration(float64(longPause) * (1 + 2*c.random.Float64()))
	}
	return time.Duration(float64(medianPause) * lognormalMedianOne(c.random, 0.9))
}

// nextTurn draws the next turn. Its prefix is the whole chat before it.
func (c *chat) nextTurn(number int) *turn {
	t := &turn{chat: c, number: number, prefix: c.tokens}
	if number == 0 {
		t.prefix, t.fresh = 0, c.tokens
	} else {
		t.fresh = int(freshTokens * lognormalMedianOne(c.random, 0.7))
	}
	t.output = int(meanOutput * lognormalMedianOne(c.random, 0.7))
	c.tokens = t.prefix + t.fresh + t.output
	return t
}

// startChats starts an initial population of chats, which are at different turns, and new
// chats at the rate that keeps the mean load.
func (w *world) startChats() {
	turnRate := w.TargetLoad * float64(w.Servers) / expectedTurnTime.Seconds()
	meanTurns := (1-longChatShare)*shortChatTurns + longChatShare*longChatTurns
	w.chatRate = turnRate / meanTurns
	lifetime := meanTurns * 2 * medianPause.Seconds()
	for range int(w.chatRate * lifetime) {
		c := w.newChat(w.randomCustomer())
		first := c.random.IntN(c.turns)
		for range first {
			c.tokens += int(freshTokens + meanOutput)
		}
		wait := time.Duration(c.random.Float64() * 2 * float64(medianPause))
		w.after(wait, func() { w.turnArrives(c.nextTurn(first)) })
	}
	for customer, share := range customerShares {
		w.scheduleChat(customer, share)
	}
}

func (w *world) scheduleChat(customer int, share float64) {
	rate := w.chatRate * share
	if w.isSurging(customer) {
		rate *= surgeFactor
	}
	wait := min(seconds(w.random.ExpFloat64()/rate), time.Minute)
	w.after(wait, func() {
		if wait < time.Minute {
			c := w.newChat(customer)
			w.turnArrives(c.nextTurn(0))
		}
		w.scheduleChat(customer, share)
	})
}

// isSurging reports whether the customer is surging now.
func (w *world) isSurging(customer int) bool {
	return surgingCustomers[customer] && w.inSurge()
}

func (w *world) inSurge() bool {
	return w.Surge && w.now >= w.Warmup+w.measured()/3 && w.now < w.Warmup+2*w.measured()/3
}

func (w *world) newChat(customer int) *chat {
	w.chatCount++
	return newChat(w.Seed, w.chatCount, customer)
}

func (w *world) randomCustomer() int {
	x := w.random.Float64()
	for i, share := range customerShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}
