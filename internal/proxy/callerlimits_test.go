package proxy_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// limitedInstance starts an instance with limits on callers and with long timeouts of its own.
func limitedInstance(t *testing.T, limits config.CallerLimits) (*instance, config.Text) {
	t.Helper()
	_, addresses := startEngines(t, 1, time.Millisecond)
	cfg := fleetConfig(addresses, nil)
	cfg.Limits = limits
	i := startInstance(t, cfg, proxy.Options{ReadTimeout: waitTimeout})
	require.Eventually(t, func() bool { return i.generation() == 1 }, waitTimeout, pollInterval)
	return i, cfg
}

// generation returns the generation of the configuration that was applied last.
func (i *instance) generation() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.applied
}

// sendAndAwait writes text and returns the status of the response and the time that it took.
func sendAndAwait(t *testing.T, conn net.Conn, text string) (*http.Response, time.Duration) {
	t.Helper()
	begun := time.Now()
	require.NoError(t, conn.SetReadDeadline(begun.Add(3*time.Second)))
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp, time.Since(begun)
}

// Guards against a limit of the operators on the time of a request's header that is not in force.
func TestHeaderTimeoutIsInForce(t *testing.T) {
	t.Parallel()
	const limit, margin = 700 * time.Millisecond, 500 * time.Millisecond
	i, _ := limitedInstance(t, config.CallerLimits{HeaderTimeout: config.Duration(limit)})
	for _, p := range inputPaces[1:] {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(p.name, ", kept ", kept), func(t *testing.T) {
				t.Parallel()
				conn := dial(t, i.address)
				if kept {
					keepWithOneRequest(t, i, conn)
					time.Sleep(limit + margin) // Idle.
				}
				begun := time.Now()
				go sendEndless(conn, p, "POST ", "/v1/chat/completions")
				status, ended, err := readUntilClosed(conn)
				require.NoError(t, err)
				require.Equal(t, http.StatusRequestTimeout, status)
				require.Greater(t, ended.Sub(begun), limit-margin)
				require.Less(t, ended.Sub(begun), limit+margin)
			})
		}
	}
}

// Guards against cutting off a body, which may take longer than the headers.
func TestHeaderTimeoutDoesNotLimitBody(t *testing.T) {
	t.Parallel()
	const limit = 500 * time.Millisecond
	i, _ := limitedInstance(t, config.CallerLimits{HeaderTimeout: config.Duration(limit)})
	body := `{"model":"underwriting","messages":[{"role":"user","content":"review"}]}`
	for _, head := range []string{
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n", chatHead, len(body)),
		fmt.Sprintf("%s%x\r\n", chunkedHead, len(body)),
	} {
		conn := dial(t, i.address)
		for range 2 { // The second one on the kept connection.
			_, err := io.WriteString(conn, head+body[:10])
			require.NoError(t, err)
			time.Sleep(2 * limit)
			rest := body[10:]
			if strings.HasPrefix(head, chunkedHead) {
				rest += "\r\n0\r\n\r\n"
			}
			resp, _ := sendAndAwait(t, conn, rest)
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
	}
}

// Guards against reading a body, as large and slow as the instance's own limits allow, that the operators' limit refuses.
func TestBodyOverOperatorsLimitIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	i, _ := limitedInstance(t, config.CallerLimits{MaxBody: 1000})
	for name, request := range map[string]string{
		"length":   chatHead + "Content-Length: 1001\r\n\r\n",
		"chunk":    chunkedHead + "3e9\r\n",
		"chunks":   chunkedHead + strings.Repeat("64\r\n"+strings.Repeat("x", 100)+"\r\n", 10) + "1\r\n",
		"expected": chatHead + "Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, i.address)
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			begun := time.Now()
			status, ended, err := readUntilClosed(conn)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestEntityTooLarge, status)
			require.Less(t, ended.Sub(begun), time.Second)
		})
	}
	require.Equal(t, 4, i.refusals(reason.TooLarge))
	resp, _ := sendAndAwait(t, dial(t, i.address), chatHead+"Content-Length: 1000\r\n\r\n"+
		`{"model":"underwriting","messages":[]}`+strings.Repeat(" ", 962))
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against limits that stay as they were when the connection was opened, or the instance started.
func TestCallerLimitsFollowConfiguration(t *testing.T) {
	t.Parallel()
	i, cfg := limitedInstance(t, config.CallerLimits{})
	kept := dial(t, i.address)
	keepWithOneRequest(t, i, kept)
	cfg.Limits = config.CallerLimits{HeaderTimeout: config.Duration(300 * time.Millisecond), MaxBody: 100}
	encoded, err := json.Marshal(cfg)
	require.NoError(t, err)
	i.loop.Post(core.ConfigOffered{Envelope: config.Envelope{Generation: 2, Edit: "e2", Text: string(encoded)}})
	require.Eventually(t, func() bool { return i.generation() == 2 }, waitTimeout, pollInterval)

	resp, took := sendAndAwait(t, kept, chatHead[:20])
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Less(t, took, time.Second)
	resp, took = sendAndAwait(t, dial(t, i.address), chatHead+"Content-Length: 101\r\n\r\n")
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Less(t, took, time.Second)
}
