package proxy_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

const (
	// raceEvents is the number of events of a stream, and raceStreams the number of streams at the same time.
	raceEvents  = 30
	raceStreams = 150
	// stallTimeout and firstByteTimeout are those of a stream of these routes.
	stallTimeout     = 700 * time.Millisecond
	firstByteTimeout = 1200 * time.Millisecond
)

// racingServer sends streams with pauses that end at about the time at which their hedges deliver.
func racingServer(_ int, r *http.Request, conn net.Conn) bool {
	after, _ := strconv.Atoi(r.Header.Get(proxy.HeaderLastEventID))
	jitter := func() time.Duration { return rand.N(20 * time.Millisecond) }
	if rand.IntN(3) == 0 {
		time.Sleep(firstByteTimeout - 5*time.Millisecond + jitter())
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	pauseAt := after + 1 + rand.IntN(raceEvents)
	for n := after + 1; n <= raceEvents && err == nil; n++ {
		if n == pauseAt {
			time.Sleep(stallTimeout - 5*time.Millisecond + jitter())
		}
		_, err = io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)))
		time.Sleep(time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(conn, lastChunk)
	}
	return err == nil
}

// Guards against events that are lost, repeated or out of order when a silent server goes on just as its hedge delivers.
func TestEventsOfRacingAttemptsAreJoinedInOrder(t *testing.T) {
	t.Parallel()
	var want strings.Builder
	for n := range raceEvents {
		fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n+1, n+1)
	}
	var addresses []string
	for range 4 {
		addresses = append(addresses, startRawBackend(t, racingServer).address)
	}
	cfg := fleetConfig(addresses, nil)
	cfg.Routes = silenceRoutes()[:1]
	cfg.Services[0].RetryShare, cfg.Services[0].SkewSlack = 1, 4096
	i := startInstance(t, cfg, proxy.Options{Dialect: routeDialect{}})
	var group errgroup.Group
	for range raceStreams {
		group.Go(func() error {
			for range 3 {
				got, err := call(newCall(t, http.MethodGet, i.url+"/resumable/x", "", nil))
				switch {
				case err != nil:
					return err
				case got.err != nil:
					return got.err
				case got.body != want.String():
					return fmt.Errorf("status %d: %q", got.status, got.body)
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	t.Logf("%d attempts for %d streams", len(i.attempts), 3*raceStreams)
}
