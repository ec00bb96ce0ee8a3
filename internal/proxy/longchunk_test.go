package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// arrivesWithin is the time in which what a server sends reaches the caller.
const arrivesWithin = 500 * time.Millisecond

// Guards against events and bytes that are held back until their chunk ends, or a buffer is full, because a server sends many of
// them in one chunk.
func TestPartOfALongChunkArrivesAtOnce(t *testing.T) {
	resumable := nativePath("native chat stream that its engine resumes", true, chatCall(true))
	resumable.fields = resumableFields
	for _, p := range []endlessPath{
		nativePath("native plain", false, plainCall),
		nativePath("native chat stream", true, chatCall(true)),
		resumable,
		routePath("resumable stream", "resumable"),
		routePath("stream", "stream"),
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			first, rest := soundBody[:7], soundBody[7:]
			fields := plainFields
			if p.stream {
				first, rest, fields = firstEvent, eventsAfter("1"), eventFields
			}
			goOn := make(chan struct{})
			serve := func(_ int, r *http.Request, conn net.Conn) bool {
				head := statusOK + fields + "Transfer-Encoding: chunked\r\n\r\n"
				_, _ = fmt.Fprintf(conn, "%s%x\r\n%s", p.fill(r, head), len(first+rest), first)
				<-goOn
				_, err := fmt.Fprintf(conn, "%s\r\n%s", rest, lastChunk)
				return err == nil
			}
			i := startInstance(t, endlessConfig(p, []string{startRawBackend(t, serve).address}), p.options)
			time.AfterFunc(2*time.Second, func() { close(goOn) })
			began := time.Now()
			resp, err := singleUse.Do(p.request(t, i, 1))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			part := make([]byte, len(first))
			_, err = io.ReadFull(resp.Body, part)
			took := time.Since(began)
			require.NoError(t, err)
			require.Equal(t, first, string(part))
			require.Less(t, took, arrivesWithin)
			whole, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, rest, string(whole))
		})
	}
}
