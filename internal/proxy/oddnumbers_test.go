package proxy

import (
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

// oddNumbers are numbers that a backend server may send in a header.
var oddNumbers = []string{
	"0", "-1", "0.5", "2147483648", "9223372037", "18446744073", "4611686018427387904", "9223372036854775807", "18446744073709551615",
	"9e18", "1e300", "1e308", "-1e308", "1e400", "NaN", "Inf", "-Inf", "0x7fffffffffffffff", "",
}

// Guards against an announced idle timeout that overflows, so that no connection is reused.
func TestKeepAliveTimeoutIsBounded(t *testing.T) {
	for _, number := range oddNumbers {
		var h fasthttp.ResponseHeader
		h.Set("Keep-Alive", "timeout="+number+", max=100")
		timeout := parseKeepAlive(&h)
		require.GreaterOrEqual(t, timeout, time.Duration(0), number)
		require.LessOrEqual(t, timeout, maxKeepAlive, number)
	}
	for number, want := range map[string]time.Duration{"5": 5 * time.Second, "3600": maxKeepAlive, "9223372037": maxKeepAlive, "18446744073": maxKeepAlive} {
		var h fasthttp.ResponseHeader
		h.Set("Keep-Alive", "timeout="+number)
		require.Equal(t, want, parseKeepAlive(&h), number)
	}
}

// Guards against a delay that a backend server asks for and no caller can wait.
func TestRetryAfterIsBounded(t *testing.T) {
	for _, number := range oddNumbers {
		var h fasthttp.ResponseHeader
		h.Set("Retry-After", number)
		delay := ParseRetryAfter(&h)
		require.GreaterOrEqual(t, delay, time.Duration(0), number)
		require.LessOrEqual(t, delay, maxRetryAfter, number)
	}
}

// Guards against a load that no server has.
func TestLoadHeaderIsBounded(t *testing.T) {
	for _, number := range oddNumbers {
		var h fasthttp.ResponseHeader
		h.Set(HeaderLoad, number)
		report := parseLoad("engine-1", &h, time.Unix(1_800_000_000, 0))
		if report == nil {
			continue
		}
		require.GreaterOrEqual(t, report.InFlight, 0, number)
		require.Equal(t, report.InFlight <= membership.MaxRequests, report.Valid(), number)
	}
	huge := membership.Report{InFlight: math.MaxInt}
	require.False(t, huge.Valid(), "the core drops it")
}

// Guards against an event number out of range that makes all later events of a stream count as repeated.
func TestEventNumberOutOfRangeIsNone(t *testing.T) {
	for _, number := range oddNumbers {
		events, err := readEvents(strings.NewReader("id: " + number + "\ndata: a\n\nid: 1\ndata: b\n\n"))
		require.ErrorIs(t, err, io.EOF)
		require.Len(t, events, 2)
		require.NotEqual(t, uint64(math.MaxUint64), events[0].id, number)
		sequence := eventSequence{last: ParseEventID(number)}
		isNew, err := sequence.accept(streamEvent{id: math.MaxUint64 - 1, data: true}, false)
		require.NoError(t, err)
		require.True(t, isNew, number)
	}
}
