package peer

import (
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// connect opens a connection to an instance and completes the handshake.
func connect(t *testing.T, to *instance) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", to.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = New(Config{Name: "a", Incarnation: 1}).handshake(conn)
	require.NoError(t, err)
	eventually(t, "link", func() bool { return to.countEvents(isConnected) > 0 })
	return conn
}

// openStreams opens the streams of a link, sends a digest on the control stream each 100 ms, and returns the bulk stream.
func openStreams(t *testing.T, conn net.Conn) *yamux.Stream {
	t.Helper()
	session, err := openSession(conn, true)
	require.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	control, err := session.OpenStream()
	require.NoError(t, err)
	bulk, err := session.OpenStream()
	require.NoError(t, err)
	go func() {
		e := NewEncoder()
		for n := 0; ; n++ {
			frame, err := e.Encode(core.PeerMessage{Digest: &core.Digest{At: start.Add(time.Duration(n) * time.Second)}})
			if err != nil {
				return
			}
			if _, err := control.Write(frame); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return bulk
}

// Guards against a link that stays open for good while a frame on its bulk stream is never completed.
func TestUnfinishedBulkFrameClosesLink(t *testing.T) {
	const idle = time.Second
	b := newInstanceWithIdleLimit(t, idle, "b", 1)
	bulk := openStreams(t, connect(t, b))
	_, err := bulk.Write(binary.AppendUvarint(nil, maxFrame))
	require.NoError(t, err)
	for end := time.Now().Add(4 * idle); err == nil && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		_, err = bulk.Write([]byte{1})
	}
	require.Equal(t, 1, b.countEvents(isLost), "the link is still open")
	require.EqualValues(t, 1, b.Stats().Snapshot().EndlessInputs)
}

// Guards against a limit on unfinished frames that closes the link to a sound peer, which pauses in a frame, or sends none.
func TestPausedPeerKeepsItsLink(t *testing.T) {
	const idle, pause = 2500 * time.Millisecond, 1400 * time.Millisecond
	b := newInstanceWithIdleLimit(t, idle, "b", 1)
	bulk := openStreams(t, connect(t, b))
	time.Sleep(idle + 500*time.Millisecond)
	e := NewEncoder()
	for range 2 {
		frame, err := e.Encode(core.PeerMessage{ConfigOffer: &core.ConfigOffer{Envelope: config.Envelope{Generation: 2, Text: "text"}}})
		require.NoError(t, err)
		for _, piece := range [][]byte{frame[:2], frame[2:]} {
			_, err = bulk.Write(piece)
			require.NoError(t, err)
			time.Sleep(pause)
		}
	}
	eventually(t, "offers", func() bool {
		return b.countEvents(func(e core.Event) bool {
			r, ok := e.(core.PeerReceived)
			return ok && r.Message.ConfigOffer != nil
		}) == 2
	})
	require.Zero(t, b.countEvents(isLost))
}

// yamuxFrame returns the header of a yamux frame (yamux specification, "Framing").
func yamuxFrame(kind uint8, flags uint16, stream, length uint32) []byte {
	frame := binary.BigEndian.AppendUint16([]byte{0, kind}, flags)
	frame = binary.BigEndian.AppendUint32(frame, stream)
	return binary.BigEndian.AppendUint32(frame, length)
}

// Guards against frames without end that belong to no message: they cost a processor, and memory where each has an answer.
func TestEndlessFramesWithoutMessageCloseLink(t *testing.T) {
	const syn = 1
	tests := []struct {
		name  string
		frame []byte
	}{
		{"pings", yamuxFrame(2, syn, 0, 7)},
		{"answers to pings", yamuxFrame(2, 2, 0, 7)},
		{"window updates", yamuxFrame(1, 0, 1, 0)},
		{"empty data", yamuxFrame(0, 0, 1, 0)},
		{"data of unknown streams", append(yamuxFrame(0, 0, 99, 4), 1, 2, 3, 4)},
		{"streams", yamuxFrame(1, syn, 0, 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newInstance(t, "b", 1)
			conn := connect(t, b)
			_, err := conn.Write(append(yamuxFrame(1, syn, 1, 0), yamuxFrame(1, syn, 3, 0)...))
			require.NoError(t, err)
			goroutines := runtime.NumGoroutine()
			if tt.name != "pings" {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
			piece := make([]byte, 0, 1024*len(tt.frame))
			stream := uint32(5)
			begun := time.Now()
			for err == nil && time.Since(begun) < 5*time.Second {
				piece = piece[:0]
				for range 1024 {
					piece = append(piece, tt.frame...)
					if tt.name == "streams" {
						binary.BigEndian.PutUint32(piece[len(piece)-8:], stream)
						stream += 2
					}
				}
				_, err = conn.Write(piece)
			}
			t.Logf("%v: %d goroutines more", time.Since(begun).Round(time.Millisecond), runtime.NumGoroutine()-goroutines)
			require.Error(t, err, "the link is still open")
			eventually(t, "link closed", func() bool { return b.countEvents(isLost) == 1 })
			require.Less(t, runtime.NumGoroutine(), goroutines+1000)
			require.EqualValues(t, 1, b.Stats().Snapshot().EndlessInputs)
		})
	}
}
