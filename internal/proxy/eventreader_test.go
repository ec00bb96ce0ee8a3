package proxy

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readEvents returns the events of a stream and the error that ended it.
func readEvents(r io.Reader) ([]streamEvent, error) {
	events := newEventReader(r)
	var all []streamEvent
	for {
		e, err := events.next()
		if err != nil {
			return all, err
		}
		e.text = bytes.Clone(e.text)
		all = append(all, e)
	}
}

// FuzzEvents reads arbitrary bytes. The events must be complete and in order, must not
// depend on how the bytes arrive, and must not include an incomplete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\nid: 2\ndata: [DONE]\n\n"))
	f.Add([]byte(": alive\n\ndata: cut"))
	f.Add([]byte("data: a\r\ndata:[DONE]\r\n\r\n\n\n\nid: -1\n\n"))
	f.Add([]byte("\n\n\r\n\r\nid:99999999999999999999\ndata\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, err := readEvents(bytes.NewReader(text))
		require.Error(t, err)
		slow, slowErr := readEvents(iotest.OneByteReader(bytes.NewReader(text)))
		require.Equal(t, whole, slow)
		require.Equal(t, errors.Is(err, io.EOF), errors.Is(slowErr, io.EOF))
		rest := text
		for _, e := range whole {
			i := bytes.Index(rest, e.text)
			require.GreaterOrEqual(t, i, 0, "an event that the stream does not contain")
			rest = rest[i+len(e.text):]
			require.True(t, bytes.HasSuffix(e.text, []byte("\n")))
		}
	})
}
