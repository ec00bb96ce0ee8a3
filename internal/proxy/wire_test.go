package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/relay"
	"github.com/ebonydyke/ebonydyke/test/standin/engine"
)

// answerBytes is above what the engine sends for one stream.
const answerBytes = 1600

// startBehindRelay starts an instance whose only engine stands behind a relay.
func startBehindRelay(t *testing.T, o proxy.Options) (*instance, *engine.Server, *relay.Relay) {
	t.Helper()
	engines, addresses := startEngines(t, 1, 0)
	r, err := relay.Start(addresses[0])
	require.NoError(t, err)
	t.Cleanup(r.Close)
	text := fleetText([]string{r.Address()}, nil)
	text.Services[0].RetryShare = 1
	return startInstance(t, text, o), engines[0], r
}

// A switch fails at any moment of an answer: the connection is reset after any
// number of bytes, from the header's first to the final chunk. The caller of a
// non-idempotent review gets every event once, or an error that shows; the review
// runs once; and "not-run" is never said of it.
func TestCutAtAnyByteOfTheAnswer(t *testing.T) {
	i, e, r := startBehindRelay(t, proxy.Options{})
	whole, unknown := 0, 0
	for cut := 0; cut < answerBytes; cut += 23 {
		f := relay.None
		f.CutBack = cut
		r.Set(f)
		got := sendThenHeal(t, r, i)
		switch got.header.Get(proxy.HeaderOutcome) {
		case string(reason.Answered):
			require.Equal(t, http.StatusOK, got.status)
			if got.err != nil {
				require.NotContains(t, got.body, "[DONE]")
				break
			}
			whole++
			require.Equal(t, wholeStream, eventIDs(got.body), "cut after %d bytes", cut)
			requireOneStream(t, got.body)
		case string(reason.Unknown):
			unknown++
		default:
			require.Fail(t, "outcome", "%s after %d bytes", got.header.Get(proxy.HeaderOutcome), cut)
		}
	}
	t.Logf("whole %d, unknown %d", whole, unknown)
	for request, n := range e.Stats().Runs {
		require.Equal(t, 1, n, request)
	}
	require.Greater(t, whole, unknown)
}

// sendThenHeal sends a review over the broken network; the network heals once the
// first connection is cut, so that a resumption finds its way.
func sendThenHeal(t *testing.T, r *relay.Relay, i *instance) reply {
	t.Helper()
	heal := time.AfterFunc(20*time.Millisecond, func() { r.Set(relay.None) })
	defer heal.Stop()
	return send(t, newChat(t, i.url, true, headers{proxy.HeaderIdempotent: "false", proxy.HeaderDeadline: "5000"}))
}

// The same on the way out: the request is cut after any number of its bytes. If
// the engine ran it, or any byte of it left, the caller is not told "not-run".
func TestCutAtAnyByteOfTheRequest(t *testing.T) {
	i, e, r := startBehindRelay(t, proxy.Options{})
	for cut := 0; cut < 600; cut += 23 {
		f := relay.None
		f.CutForward = cut
		r.Set(f)
		got := send(t, newChat(t, i.url, true, headers{proxy.HeaderIdempotent: "false"}))
		require.Contains(t, []string{string(reason.Unknown), string(reason.Answered)},
			got.header.Get(proxy.HeaderOutcome), "cut after %d bytes", cut)
		if cut == 0 {
			require.Empty(t, e.Stats().Runs)
		}
	}
	for request, n := range e.Stats().Runs {
		require.Equal(t, 1, n, request)
	}
}

// A zone is cut off as by a pulled cable: nothing arrives and nothing is closed.
// The review in progress is told within its deadline, on the core's own clock.
func TestFrozenNetworkEndsAtDeadline(t *testing.T) {
	i, e, r := startBehindRelay(t, proxy.Options{Inactivity: time.Hour})
	f := relay.None
	f.Frozen = true
	r.Set(f)
	got := send(t, newChat(t, i.url, true, headers{proxy.HeaderDeadline: "200"}))
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Equal(t, string(reason.Unknown), got.header.Get(proxy.HeaderOutcome))
	require.Equal(t, string(reason.DeadlineExceeded), got.header.Get(proxy.HeaderReason))
	require.Empty(t, e.Stats().Runs)
	r.Set(relay.None)
	next := send(t, newChat(t, i.url, true, nil))
	require.NoError(t, next.err)
	require.True(t, strings.HasSuffix(next.body, "[DONE]\n\n"))
}
