package proxy_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

const (
	wrongIDCallers  = 8
	wrongIDRequests = 4
)

// wrongIDServers are a faulty server, which gives its answers the IDs of other requests, and a sound one.
type wrongIDServers struct {
	*instance
	path endlessPath

	mu   sync.Mutex
	runs map[string]int
	// statuses and longest are what callers got and how long they waited at most.
	statuses map[int]int
	longest  time.Duration
}

func startWrongIDServers(t *testing.T, route string) *wrongIDServers {
	s := &wrongIDServers{path: routePath(route, route), runs: make(map[string]int), statuses: make(map[int]int)}
	var addresses []string
	for _, prefix := range []string{"x", ""} {
		addresses = append(addresses, startRawBackend(t, func(_ int, r *http.Request, conn net.Conn) bool {
			_, err := conn.Write([]byte(s.answer(prefix, r)))
			return err == nil
		}).address)
	}
	s.instance = startInstance(t, endlessConfig(s.path, addresses), s.path.options)
	return s
}

// answer returns the answer to a request, with a prefix before its ID.
func (s *wrongIDServers) answer(prefix string, r *http.Request) string {
	own := fakeplatform.ReadAttempt(r).ID
	s.mu.Lock()
	s.runs[own]++
	s.mu.Unlock()
	if !s.path.stream {
		return answerOf(prefix + own)
	}
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + prefix + own + "\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n" + chunk(streamOf(own, r.Header.Get(proxy.HeaderLastEventID))) + lastChunk
}

// ask sends a request and checks its reply against the runs.
func (s *wrongIDServers) ask(t *testing.T, req *http.Request) error {
	began := time.Now()
	got, err := call(req)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[got.status]++
	s.longest = max(s.longest, time.Since(began))
	if ran := s.runs[req.Header.Get("Attempt-Id")]; s.path.once && ran > 1 || ran > 0 && promised(got.status) {
		t.Errorf("status %d, %d runs", got.status, ran)
	}
	return nil
}

// Guards against a request that runs twice, is refused though it has run, or gets no answer by its deadline, because a faulty
// server gives its own answers the IDs of other requests, and none follows.
func TestServerWithWrongIDs(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"once", "idempotent", "resumable", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s := startWrongIDServers(t, route)
			var group errgroup.Group
			for c := range wrongIDCallers {
				group.Go(func() error {
					for n := range wrongIDRequests {
						if err := s.ask(t, s.path.request(t, s.instance, c*wrongIDRequests+n+1)); err != nil {
							return err
						}
					}
					return nil
				})
			}
			require.NoError(t, group.Wait())
			t.Logf("statuses %v, longest %v", s.statuses, s.longest.Round(time.Millisecond))
			require.Less(t, s.longest, endlessDeadline+closeSlack)
			if !s.path.once {
				require.Len(t, s.statuses, 1, "the sound server serves all")
			}
		})
	}
}
