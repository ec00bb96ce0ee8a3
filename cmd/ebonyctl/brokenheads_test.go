package main

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
	"github.com/ebonydyke/ebonydyke/test/heads"
)

const answeredFields = proxy.HeaderOutcome + ": answered\r\nContent-Type: application/json\r\nConnection: close\r\n"

func sendTo(address string) (out bytes.Buffer, err error) {
	global := &cli{stdout: &out, stderr: &out, Timeout: 5 * time.Second}
	return out, (&sendCommand{To: address, Customer: "c", Service: "portal", Method: "GET", Path: "/"}).Run(global)
}

// Guards against a tool that reports as done what an instance, or a device on the path, answers with a head that breaks the protocol.
func TestBrokenHeadIsNoAnswerOfAnInstance(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Broken() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			address := heads.StartServer(t, h.Text("HTTP/1.1 200 OK", answeredFields, `{"a":"fourteen"}`)).Address
			require.Error(t, call(t.Context(), http.MethodGet, address, "/status", nil, &struct{}{}))
			out, err := sendTo(address)
			var exit *exitError
			require.ErrorAs(t, err, &exit)
			require.Equal(t, exitOutcomeUnknown, exit.code)
			require.NotContains(t, out.String(), "fourteen")
		})
	}
}

// Guards against a tool that refuses an answer whose head is unusual.
func TestUnusualHeadsOfAnInstanceAreRead(t *testing.T) {
	t.Parallel()
	for _, h := range heads.Unusual() {
		t.Run(h.Name, func(t *testing.T) {
			t.Parallel()
			address := heads.StartServer(t, h.Text("HTTP/1.1 200 OK", answeredFields, `{"a":"fourteen"}`)).Address
			require.NoError(t, call(t.Context(), http.MethodGet, address, "/status", nil, &struct{}{}))
			_, err := sendTo(address)
			require.NoError(t, err)
		})
	}
}
