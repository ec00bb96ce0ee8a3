package proxy

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// maxTestBody is the limit of the bodies that tests read, in bytes.
const maxTestBody = 1000

// readCallerBody reads a request of which sent has arrived. It returns the request and what is left of the bytes.
func readCallerBody(t *testing.T, sent string) (req *fasthttp.Request, left string, err error) {
	t.Helper()
	caller, conn := net.Pipe()
	require.NoError(t, caller.Close())
	c := &callerConn{Conn: conn, server: &Server{options: Options{MaxHeader: DefaultMaxHeader}}, readAhead: []byte(sent)}
	req = &fasthttp.Request{}
	in := bufio.NewReader(c)
	if err = req.Header.Read(in); err != nil {
		return nil, "", err
	}
	announceNoBody(&req.Header)
	if err = req.ContinueReadBody(in, maxTestBody, false); err != nil {
		return nil, "", err
	}
	err = c.readBody(req, maxTestBody, &bodyGrant{budget: newBodyBudget(DefaultMaxBodies)})
	return req, string(c.readAhead), err
}

// readLibraryBody reads the same with the HTTP library alone.
func readLibraryBody(sent string) (req *fasthttp.Request, left string, err error) {
	req = &fasthttp.Request{}
	in := bufio.NewReaderSize(strings.NewReader(sent), DefaultMaxHeader)
	err = req.ReadLimitBody(in, maxTestBody)
	rest, _ := in.Peek(in.Buffered())
	return req, string(rest), err
}

// readLibraryHeader reads the header alone with the HTTP library.
func readLibraryHeader(t *testing.T, sent string) *fasthttp.RequestHeader {
	t.Helper()
	h := &fasthttp.RequestHeader{}
	require.NoError(t, h.Read(bufio.NewReaderSize(strings.NewReader(sent), DefaultMaxHeader)))
	return h
}

// requireSameBody requires that a request that is read is the one that the HTTP library reads, but for trailers: the library makes
// them fields of the header.
func requireSameBody(t *testing.T, sent string) {
	t.Helper()
	got, gotLeft, err := readCallerBody(t, sent)
	want, wantLeft, wantErr := readLibraryBody(sent)
	if wantErr != nil {
		require.Error(t, err, "%q", sent)
		return
	}
	require.NoError(t, err, "%q", sent)
	require.Equal(t, string(want.Body()), string(got.Body()), "%q", sent)
	wantHeader := readLibraryHeader(t, sent)
	if wantHeader.ContentLength() != want.Header.ContentLength() {
		wantHeader.SetContentLength(want.Header.ContentLength())
	}
	require.Equal(t, wantHeader.String(), got.Header.String(), "%q", sent)
	require.Equal(t, want.Header.ContentLength(), got.Header.ContentLength(), "%q", sent)
	require.Equal(t, wantLeft, gotLeft, "%q", sent)
}

// Guards against bodies that are read as other ones than the HTTP library reads, and with them a caller that can hide a request
// behind another one.
func TestBodiesAreReadAsByTheLibrary(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for _, framed := range []string{
		"\r\n", "\r\nnext", "Content-Length: 0\r\n\r\nnext", "Content-Length: 3\r\n\r\nabcnext", "Content-Length: 3\r\n\r\n\r\n\r\n",
		"Content-Length: 3\r\n\r\nab", "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), "Content-Length: 1001\r\n\r\n",
		"Ebonydyke-Customer: a\r\nContent-Length: 2\r\n\r\nab", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"Content-Length: 3\r\n" + chunked + "3\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: identity\r\n\r\nabc",
		chunked + "3\r\nabc\r\n0\r\n\r\nnext", chunked + "0\r\n\r\nnext", chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
		chunked + "3;a=b\r\nabc\r\n0;c\r\n\r\n", chunked + "3 \t \r\nabc\r\n0\r\n\r\n", chunked + "3 ;a\r\nabc\r\n0\r\n\r\n",
		chunked + "3\nabc\r\n0\r\n\r\n", chunked + "3\r\nabc\n0\r\n\r\n", chunked + "3;a\nb\r\nabc\r\n0\r\n\r\n",
		chunked + "3;a\rb\r\nabc\r\n0\r\n\r\n", chunked + "3\r\nabcd\r\n0\r\n\r\n", chunked + "0x3\r\nabc\r\n0\r\n\r\n",
		chunked + "+3\r\nabc\r\n0\r\n\r\n", chunked + "-3\r\nabc\r\n0\r\n\r\n", chunked + "\r\nabc\r\n0\r\n\r\n", chunked + "3_0\r\n",
		chunked + "00000000000003\r\nabc\r\n00\r\n\r\n", chunked + "0000000000000003\r\nabc\r\n0\r\n\r\n",
		chunked + "A\r\n0123456789\r\n0\r\n\r\n", chunked + "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n0\r\n\r\n",
		chunked + "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n1\r\nx\r\n0\r\n\r\n", chunked + "fffffffffffffff\r\nabc", chunked + "3\r\nab",
		chunked + "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\nnext", "Trailer: X-Sum\r\n" + chunked + "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\nnext",
		chunked + "3\r\nabc\r\n0\r\n", chunked + "3\r\nabc\r\n0\r\nX-Sum\r\n\r\n",
		chunked + strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nx\r\n", 40) + "0\r\n\r\n",
		chunked + strings.Repeat("1\r\nx\r\n", 900) + "0\r\n\r\n", chunked + "1;" + strings.Repeat("e", 20_000) + "\r\nx\r\n0\r\n\r\n",
	} {
		for _, line := range []string{"POST /x HTTP/1.1\r\nHost: h\r\n", "GET /x HTTP/1.1\r\nHost: h\r\n", "\r\nPOST /x HTTP/1.0\r\n"} {
			requireSameBody(t, line+framed)
		}
	}
}

// Guards against the same for any bytes.
func FuzzCallerChunks(f *testing.F) {
	f.Add("3;a=b\r\nabc\r\n0\r\n\r\nnext")
	f.Add("A \r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n")
	f.Fuzz(func(t *testing.T, chunks string) {
		requireSameBody(t, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
	})
}

// Guards against a body that is lost, or taken for a request, because the HTTP library sees the end of a header elsewhere: an empty
// line without a carriage return ends it only if one with it follows.
func TestAmbiguousHeaderEndIsRefused(t *testing.T) {
	_, _, err := readCallerBody(t, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\nabcd\r\n\r\n")
	require.ErrorIs(t, err, errHeadEnd)
}

// Guards against trailers of a body that replace fields of the header, which say whose request it is and what it asks for.
func TestTrailersBecomeNoFieldsOfTheHeader(t *testing.T) {
	req, left, err := readCallerBody(t, "POST /x HTTP/1.1\r\nHost: h\r\nModel: m\r\nTrailer: Model, Other\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"3\r\nabc\r\n0\r\nModel: n\r\nOther: o\r\n\r\nnext")
	require.NoError(t, err)
	require.Equal(t, "next", left)
	require.Equal(t, "m", string(req.Header.Peek("Model")))
	require.Empty(t, req.Header.Peek("Other"))
}

// Guards against a caller that sets the length that passes between the HTTP library and the connection.
func TestAnnouncedLengthIsNotTheCallers(t *testing.T) {
	for _, framing := range []string{"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"} {
		req, left, err := readCallerBody(t, "POST /x HTTP/1.1\r\nHost: h\r\n"+headerAnnounced+": 1\r\n"+strings.ToLower(headerAnnounced)+": 2\r\n"+framing)
		require.NoError(t, err)
		require.Equal(t, "abc", string(req.Body()))
		require.Empty(t, left)
		require.Empty(t, req.Header.Peek(headerAnnounced))
	}
}
