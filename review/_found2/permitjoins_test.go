package core_test

// These tests aren't part of the default run. Copy the file into internal/core, run them there, and remove the copy:
//
//	cp review/_found2/permitjoins_test.go internal/core/ && go test -count=1 ./internal/core -run TestReview

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
)

// Shows that a stream goes on at another software version if the entry of a cold server's next process arrives while the request
// that continues the stream waits for a permit for that server.
func TestReviewPermitJoinsVersions(t *testing.T) {
	const servers = 12
	text := strings.ReplaceAll(streamConfig(0), `"engine": {"slots": 64}`, `"engine": {"slots": 64}, `+warmUpText)
	r := &nodeDriver{t: t, now: epoch, node: core.New(core.Settings{Name: "entry-0", Zone: "zone-0", Incarnation: 1, Seed: 7, NoPolls: true})}
	r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 1, Edit: "first", Text: text}})
	var instances []membership.Member
	for _, name := range []string{"entry-0", "entry-1"} {
		instances = append(instances, membership.Member{Name: name, Role: membership.RoleInstance, Zone: "zone-0", Address: "127.0.0.1:9", Incarnation: 1, State: membership.Live})
	}
	r.handle(core.InstancesListed{Op: onlyEffect[core.ListInstances](t, r.tick()).Op, Members: instances})
	r.handle(core.InstancesListed{Op: onlyEffect[core.ListInstances](t, r.advance(time.Second)).Op, Members: instances})
	r.handle(core.PeerConnected{Peer: "entry-1", Incarnation: 1})
	history := &streams.History{Services: map[string][]string{"engines": {"v1", "v2"}}}
	all := []entries.Entry{{Name: entries.HistoryName, Revision: 30, History: history}}
	for i := range servers {
		e := entry("engine", "engines", i, uint64(40+i))
		if i == servers-1 {
			e.Backend.Version = "v2"
		}
		all = append(all, e)
	}
	r.handle(core.PeerReceived{From: "entry-1", Message: core.PeerMessage{EntriesOffer: &core.EntriesOffer{To: 100, Entries: all}}})
	r.advance(3 * time.Second)
	first := r.beginStream("a")
	require.Equal(t, "v1", first.Version)

	r.turnAllCold()
	ask := permitOf(r.sendStream("b", "key-1", after("a")))
	require.NotNil(t, ask, "the request that continues the stream asks entry-1 for a permit")
	var server int
	_, err := fmt.Sscanf(ask.Server, "engine-%d", &server)
	require.NoError(t, err)
	r.putEngine(server, 101, membership.Live, "v2")
	for _, sent := range effectsOf[core.SendAttempt](r.answerPermit("entry-1", core.GrantPermit, ask.Token)) {
		require.Equal(t, first.Version, sent.Version, "sent to %s", sent.Backend)
	}
}

// Shows the same of a request that waits for a borrowed slot, at a service whose servers limit their rejections. No server is cold.
func TestReviewLoanJoinsVersions(t *testing.T) {
	r := newNodeDriver(t, 6)
	r.listInstances(13)
	for i := range 12 {
		r.handle(core.PeerConnected{Peer: fmt.Sprintf("entry-%d", i+1), Incarnation: 1})
	}
	r.handle(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "streams", Text: streamConfig(0)}})
	r.putHistory(200, "v1")
	r.putEngine(5, 206, membership.Live, "v2")
	r.putHistory(210, "v1", "v2")
	r.advanceWithStore(2 * time.Second)
	first := r.beginStream("a")
	require.Equal(t, "v1", first.Version)
	r.handle(core.AttemptEnded{Request: first.Request, Attempt: first.Attempt, Outcome: retry.Answered, RejectionLimit: rejectionLimit})

	var asks []core.SendPeer
	for i := 0; len(asks) == 0; i++ {
		require.Less(t, i, 60, "no slot was asked for")
		asks = slotMessages(r.sendStream(fmt.Sprint("b", i), "key-1", after("a")), core.AskSlot)
	}
	slot := asks[0].Message.Slot
	var server int
	_, err := fmt.Sscanf(slot.Server, "engine-%d", &server)
	require.NoError(t, err)
	r.putEngine(server, 211, membership.Live, "v2")
	granted := r.handle(core.PeerReceived{From: asks[0].To, Message: core.PeerMessage{
		Slot: &core.SlotMessage{Action: core.GrantSlot, Token: slot.Token, Server: slot.Server},
	}})
	for _, sent := range effectsOf[core.SendAttempt](granted) {
		require.Equal(t, first.Version, sent.Version, "sent to %s", sent.Backend)
	}
}
