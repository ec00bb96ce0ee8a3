package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// limitServers lets the servers of the plain service announce a limit, and returns a driver whose instance owns a few of
// their slots and is linked to all owners of the others.
func limitServers(t *testing.T) *nodeDriver {
	t.Helper()
	r := newNodeDriver(t, 4)
	r.listInstances(13)
	for i := range 12 {
		r.handle(core.PeerConnected{Peer: fmt.Sprintf("entry-%d", i+1), Incarnation: 1})
	}
	sent := onlyEffect[core.SendAttempt](t, r.sendRequest("/progress/x", "key-1"))
	r.handle(core.AttemptEnded{Request: sent.Request, Attempt: sent.Attempt, Outcome: retry.Answered, RejectionLimit: rejectionLimit})
	return r
}

// slotMessages returns the messages about slots with an action.
func slotMessages(effects []core.Effect, action core.SlotAction) []core.SendPeer {
	var list []core.SendPeer
	for _, e := range effectsOf[core.SendPeer](effects) {
		if e.Message.Slot != nil && e.Message.Slot.Action == action {
			list = append(list, e)
		}
	}
	return list
}

// fillOwnSlots sends requests until one asks another instance for a slot. It returns the attempts on own slots, and the question.
func (r *nodeDriver) fillOwnSlots() (own []core.SendAttempt, ask core.SendPeer) {
	r.t.Helper()
	for range 30 {
		effects := r.sendRequest("/progress/x", "key-1")
		if asks := slotMessages(effects, core.AskSlot); len(asks) > 0 {
			return own, asks[0]
		}
		own = append(own, onlyEffect[core.SendAttempt](r.t, effects))
	}
	r.t.Fatal("no slot was asked for")
	return nil, core.SendPeer{}
}

// Guards against a borrowed slot that is released twice, once by the attempt on it and once by its hedge: it is then lent to
// two instances at once, and its server must reject requests.
func TestHedgeReleasesNoBorrowedSlot(t *testing.T) {
	t.Parallel()
	r := limitServers(t)
	own, ask := r.fillOwnSlots()
	require.NotEmpty(t, own)
	server := "portal-0"
	if own[0].Backend == server {
		server = "portal-1"
	}
	borrowed := onlyEffect[core.SendAttempt](t, r.handle(core.PeerReceived{From: ask.To, Message: core.PeerMessage{
		Slot: &core.SlotMessage{Action: core.GrantSlot, Token: ask.Message.Slot.Token, Server: server},
	}}))
	require.Equal(t, server, borrowed.Backend)
	r.endAttempt(own[0], retry.Answered)
	hedge := onlyEffect[core.SendAttempt](t, r.handle(core.AttemptSilent{Request: borrowed.Request, Attempt: borrowed.Attempt}))
	require.True(t, hedge.Hedge)
	require.Equal(t, own[0].Backend, hedge.Backend, "the only free slot")
	effects := r.endAttempt(hedge, retry.Answered)
	effects = append(effects, r.endAttempt(borrowed, retry.Superseded)...)
	effects = append(effects, r.advance(5*time.Second)...)
	require.Len(t, slotMessages(effects, core.ReturnSlot), 1)
}

// Guards against sending a request on a lent slot of a server that has ended: its owner need not know so, and it seems to have
// the most room.
func TestLentSlotOfEndedServerIsNotUsed(t *testing.T) {
	t.Parallel()
	r := limitServers(t)
	first := onlyEffect[core.SendAttempt](t, r.sendRequest("/progress/x", "key-1"))
	again := onlyEffect[core.SendAttempt](t, r.refuseConnection(first))
	require.NotEqual(t, first.Backend, again.Backend)
	_, ask := r.fillOwnSlots()
	effects := r.handle(core.PeerReceived{From: ask.To, Message: core.PeerMessage{
		Slot: &core.SlotMessage{Action: core.GrantSlot, Token: ask.Message.Slot.Token, Server: first.Backend},
	}})
	require.Empty(t, effectsOf[core.SendAttempt](effects))
	require.Len(t, slotMessages(effects, core.ReturnSlot), 1)
	require.Len(t, slotMessages(effects, core.AskSlot), 1, "another owner is asked")
}
