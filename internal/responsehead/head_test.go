package responsehead_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/responsehead"
	"github.com/ebonydyke/ebonydyke/test/heads"
)

const (
	usualStatus = "HTTP/1.1 200 OK"
	usualFields = "Content-Type: text/plain\r\n"
	usualBody   = "fourteen bytes"
)

// readers read a text at once and byte by byte.
var readers = map[string]func(string) io.Reader{
	"at once":  func(text string) io.Reader { return strings.NewReader(text) },
	"bytewise": func(text string) io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
}

// Guards against a head that breaks the protocol and passes, whole or in pieces.
func TestBrokenHeadsAreMalformed(t *testing.T) {
	for _, h := range heads.Broken() {
		for pace, reader := range readers {
			t.Run(h.Name+"/"+pace, func(t *testing.T) {
				err := responsehead.Await(bufio.NewReader(reader(h.Text(usualStatus, usualFields, usualBody))))
				require.ErrorIs(t, err, responsehead.ErrMalformed)
			})
		}
	}
}

// Guards against turning away an unusual head, and against a byte of it or of the body that is lost.
func TestUnusualHeadsStay(t *testing.T) {
	for _, h := range heads.Unusual() {
		for pace, reader := range readers {
			t.Run(h.Name+"/"+pace, func(t *testing.T) {
				in := bufio.NewReader(reader(h.Text(usualStatus, usualFields, usualBody)))
				require.NoError(t, responsehead.Await(in))
				h.Before = ""
				rest, err := io.ReadAll(in)
				require.NoError(t, err)
				require.Equal(t, h.Text(usualStatus, usualFields, usualBody), string(rest))
			})
		}
	}
}

// Guards against waiting for the end of a line that has shown already that no head follows.
func TestMalformedHeadIsToldByItsFirstBytes(t *testing.T) {
	for _, text := range []string{"x", "\r", "\n", "\x16\x03\x01", "HTTP/2", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n"} {
		blocked := io.MultiReader(strings.NewReader(text), iotest.ErrReader(errors.New("waited for more")))
		require.ErrorIs(t, responsehead.Await(bufio.NewReader(blocked)), responsehead.ErrMalformed, "%q", text)
	}
}

// Guards against taking an interrupted connection for a malformed head, and a head without end for one that is interrupted.
func TestOtherErrorsAreKept(t *testing.T) {
	for _, text := range []string{"", "HTT", "HTTP/1.1 200 OK", usualStatus + "\r\n" + usualFields, "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		require.Equal(t, io.EOF, responsehead.Await(bufio.NewReader(strings.NewReader(text))), "%q", text)
	}
	long := usualStatus + "\r\n" + strings.Repeat(usualFields, 1000) + "\r\n"
	require.Equal(t, bufio.ErrBufferFull, responsehead.Await(bufio.NewReader(strings.NewReader(long))))
	endless := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 101)
	require.ErrorIs(t, responsehead.Await(bufio.NewReader(strings.NewReader(endless))), responsehead.ErrMalformed)
}

// FuzzAwait compares the check with the standard library, which reads what passes.
func FuzzAwait(f *testing.F) {
	for _, h := range append(heads.Broken(), heads.Unusual()...) {
		f.Add([]byte(h.Text(usualStatus, usualFields, usualBody)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		in := bufio.NewReader(strings.NewReader(string(text)))
		if responsehead.Await(in) != nil {
			return
		}
		// The standard library also limits what values mean, such as a length of more than 63 bits.
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, resp.StatusCode, 100)
		require.LessOrEqual(t, resp.StatusCode, 599)
		for name := range resp.Header {
			require.NotContains(t, name, " ")
		}
	})
}

func BenchmarkAwait(b *testing.B) {
	text := usualStatus + "\r\n" + usualFields + "Attempt-Id: 9c41d07be2a35f68\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8\r\nKeep-Alive: timeout=10\r\nContent-Length: 14\r\n\r\n"
	source := strings.NewReader(text)
	in := bufio.NewReader(source)
	for b.Loop() {
		source.Reset(text)
		in.Reset(source)
		if err := responsehead.Await(in); err != nil {
			b.Fatal(err)
		}
	}
}
