package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ebonydyke/ebonydyke/test/fixedseed"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/claims"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/load"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
)

var start = time.UnixMilli(1_764_000_000_000).UTC()

// roundTrip encodes and decodes a message. It returns the decoded message and the size of the
// frame.
func roundTrip(t require.TestingT, e *Encoder, d *Decoder, m core.PeerMessage) (core.PeerMessage, int) {
	frame, err := e.Encode(m)
	require.NoError(t, err)
	body, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), maxFrame)
	require.NoError(t, err)
	got, err := d.Decode(body)
	require.NoError(t, err)
	return got, len(frame)
}

// TestMessagesRoundTrip passes random messages through one encoder and decoder, whose state
// depends on the messages before, and compares each with the decoded one.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, d := NewEncoder(), NewDecoder()
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			m := drawMessage(t)
			got, _ := roundTrip(t, e, d, m)
			if m.Digest != nil {
				for _, lists := range [][2]*[]load.Count{
					{&m.Digest.Loads, &got.Digest.Loads},
					{&m.Digest.RowSums, &got.Digest.RowSums},
					{&m.Digest.Totals, &got.Digest.Totals},
				} {
					require.ElementsMatch(t, *lists[0], *lists[1])
					*lists[0], *lists[1] = nil, nil
				}
			}
			require.Equal(t, m, got)
		}
	})
}

func drawMessage(t *rapid.T) core.PeerMessage {
	key := claims.KeyHash{Hi: rapid.Uint64().Draw(t, "hi"), Lo: rapid.Uint64().Draw(t, "lo")}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return core.PeerMessage{Claim: &claims.Request{Key: key, Token: key.Lo, Set: claims.Done, Expires: uint32(key.Hi)}}
	case 1:
		return core.PeerMessage{ClaimReply: &claims.Reply{
			Key: key, Token: key.Hi, Set: claims.Claimed, Verdict: claims.Duplicate, First: claims.Done,
		}}
	case 2:
		return core.PeerMessage{ConfigOffer: &core.ConfigOffer{Envelope: config.Envelope{
			Generation: key.Hi, Edit: "edit", Text: rapid.String().Draw(t, "text"),
		}}}
	case 3:
		return core.PeerMessage{ConfigWanted: &core.ConfigWanted{Above: key.Lo}}
	default:
		return core.PeerMessage{Digest: drawDigest(t)}
	}
}

func drawDigest(t *rapid.T) *core.Digest {
	name := rapid.StringMatching(`[a-z]{1,6}`)
	at := start.Add(time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "at")) * time.Millisecond)
	d := &core.Digest{
		Seq: rapid.Uint64().Draw(t, "seq"), At: at, Generation: rapid.Uint64Range(0, 1<<40).Draw(t, "generation"),
		Leaving: rapid.Bool().Draw(t, "leaving"), Full: rapid.Bool().Draw(t, "full"),
		Resync: rapid.Bool().Draw(t, "resync"), WantMembers: rapid.Bool().Draw(t, "want"),
		HearsNotAll: rapid.Bool().Draw(t, "hears"),
	}
	for _, list := range []*[]load.Count{&d.Loads, &d.RowSums, &d.Totals} {
		for backend, inFlight := range rapid.MapOf(name, rapid.IntRange(0, 1<<20)).Draw(t, "loads") {
			*list = append(*list, load.Count{Backend: backend, InFlight: inFlight})
		}
	}
	for _, backend := range rapid.SliceOfN(name, 0, 3).Draw(t, "others") {
		d.Reports = append(d.Reports, membership.Report{
			Backend: backend, Incarnation: 7, State: membership.Leaving, InFlight: 3, At: at.Add(-time.Second),
		})
		d.Facts = append(d.Facts, membership.Fact{Name: backend, Incarnation: 9, State: membership.Gone})
		d.Members = append(d.Members, membership.Member{
			Name: backend, Role: membership.RoleInstance, Zone: "z", Address: "127.0.0.1:1", State: membership.Live,
		})
	}
	return d
}

// TestEveryFieldRoundTrips sets every field of every message. A field that is added in the
// core but not to the codec would arrive empty, such as the time at which a claim expires and its
// key is free.
func TestEveryFieldRoundTrips(t *testing.T) {
	for _, m := range []core.PeerMessage{
		{Digest: &core.Digest{}}, {ConfigOffer: &core.ConfigOffer{}}, {ConfigWanted: &core.ConfigWanted{}},
		{EntriesOffer: &core.EntriesOffer{}}, {EntriesWanted: &core.EntriesWanted{}},
		{Claim: &claims.Request{}}, {ClaimReply: &claims.Reply{}},
		{StreamOffer: &core.StreamOffer{}}, {StreamQuestion: &core.StreamQuestion{}}, {StreamAnswer: &core.StreamAnswer{}}, {Slot: &core.SlotMessage{}},
		{Retry: &core.RetryMessage{}}, {Permit: &core.PermitMessage{}},
	} {
		v := reflect.ValueOf(&m).Elem()
		for i := range v.NumField() {
			if field := v.Field(i); !field.IsNil() {
				setNonZero(t, field.Elem())
			}
		}
		got, _ := roundTrip(t, NewEncoder(), NewDecoder(), m)
		if m.Digest != nil {
			// The incarnation is sent once in the hello and not in each digest.
			got.Digest.Incarnation = m.Digest.Incarnation
			// Only the instance that received a response compares the running requests with the slots, and a
			// server's entry holds its slots. They cost bytes and are not sent.
			require.Zero(t, got.Digest.Reports[0].Running)
			require.Zero(t, got.Digest.Reports[0].Slots)
			got.Digest.Reports[0].Running, got.Digest.Reports[0].Slots = m.Digest.Reports[0].Running, m.Digest.Reports[0].Slots
		}
		if m.ConfigOffer != nil {
			// Each instance reads the text itself, and finds the same adjustments.
			require.Zero(t, got.ConfigOffer.Adjusted.Count())
			got.ConfigOffer.Adjusted = m.ConfigOffer.Adjusted
		}
		require.Equal(t, m, got)
	}
}

// setNonZero sets a value to a valid value of its type other than zero.
func setNonZero(t *testing.T, v reflect.Value) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(start))
		return
	case membership.State:
		v.SetString(string(membership.Leaving))
		return
	case *config.Text:
		// The receiver parses it again from the envelope.
		return
	case time.Duration:
		v.Set(reflect.ValueOf(1500 * time.Millisecond))
		return
	case membership.Role:
		v.SetString(string(membership.RoleInstance))
		return
	case claims.Verdict:
		v.SetString(string(claims.Full))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			setNonZero(t, v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setNonZero(t, v.Index(0))
	case reflect.Map:
		setNonZeroMap(t, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(t, v.Elem())
	case reflect.String:
		v.SetString("word")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		v.SetInt(3)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(2)
	default:
		t.Fatalf("unsupported field of kind %s", v.Kind())
	}
}

// setNonZeroMap sets a map to one with a valid key and value.
func setNonZeroMap(t *testing.T, v reflect.Value) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	setNonZero(t, key)
	setNonZero(t, value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

// TestRepeatedDigestIsSmall checks the size on which the budget for control traffic is based: once
// the names are in the dictionary, a digest takes about two bytes per load.
func TestRepeatedDigestIsSmall(t *testing.T) {
	e, d := NewEncoder(), NewDecoder()
	digest := func(seq int) core.PeerMessage {
		out := &core.Digest{Seq: uint64(seq), At: start.Add(time.Duration(seq) * 500 * time.Millisecond), Generation: 3}
		for i := range 12 {
			out.Loads = append(out.Loads, load.Count{Backend: strings.Repeat("server", 3) + string(rune('a'+i)), InFlight: seq})
		}
		return core.PeerMessage{Digest: out}
	}
	_, first := roundTrip(t, e, d, digest(1))
	_, second := roundTrip(t, e, d, digest(2))
	require.Greater(t, first, 12*20)
	require.Equal(t, 32, second)
}

// TestDictionaryStaysBounded sends ever new instance names over one stream, as replacements of
// instances do over years. Names of instances that are gone must not accumulate at either end.
func TestDictionaryStaysBounded(t *testing.T) {
	e, d := NewEncoder(), NewDecoder()
	for i := range 3 * maxNames {
		fact := membership.Fact{Name: "entry-" + time.Duration(i).String(), Incarnation: 1, State: membership.Live}
		m := core.PeerMessage{Digest: &core.Digest{Seq: uint64(i + 1), At: start, Facts: []membership.Fact{fact}}}
		got, _ := roundTrip(t, e, d, m)
		require.Equal(t, m, got)
		require.LessOrEqual(t, len(d.names), maxNames/2+2)
	}
}

func TestOversizedConfigIsRefused(t *testing.T) {
	text := strings.Repeat("x", maxConfigSize+1)
	_, err := NewEncoder().Encode(core.PeerMessage{ConfigOffer: &core.ConfigOffer{Envelope: config.Envelope{Text: text}}})
	require.ErrorIs(t, err, errTooLarge)
}

// FuzzDecode passes arbitrary bytes to the frame reader and the decoder. They must return an error
// or a message, without a panic and without unbounded memory use.
func FuzzDecode(f *testing.F) {
	e := NewEncoder()
	digest := &core.Digest{Seq: 1, At: start, Full: true, Loads: []load.Count{{Backend: "a", InFlight: 2}},
		Reports: []membership.Report{{Backend: "b", State: membership.Live}}}
	seed, err := e.Encode(core.PeerMessage{Digest: digest})
	require.NoError(f, err)
	f.Add(bytes.Clone(seed))
	seed, err = e.Encode(core.PeerMessage{ConfigOffer: &core.ConfigOffer{Envelope: config.Envelope{Text: "{}"}}})
	require.NoError(f, err)
	f.Add(bytes.Clone(seed))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{0x80, 0x80, 0x40, 0x12, 0x00})
	f.Add([]byte{0x06, 0x1a, 0x04, 0x2a, 0x02, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, stream []byte) {
		d := NewDecoder()
		r := bufio.NewReader(bytes.NewReader(stream))
		for {
			frame, err := readFrame(r, maxFrame)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(frame), len(stream))
			if _, err := d.Decode(frame); err != nil {
				return
			}
			require.LessOrEqual(t, len(d.names), maxNames+1)
		}
	})
}

// TestWireEstimateMatchesFrameSize compares the core's estimates of message sizes with the sizes on
// the connection. With wrong estimates the core would not keep its budget for control traffic.
func TestWireEstimateMatchesFrameSize(t *testing.T) {
	e := NewEncoder()
	r := rand.New(rand.NewPCG(1, 2))
	estimated, actual := 0, 0
	for i := range 400 {
		d := &core.Digest{Seq: uint64(i + 1), At: start.Add(time.Duration(i) * 500 * time.Millisecond), Generation: 4}
		for b := range 150 {
			if r.IntN(8) == 0 {
				d.Loads = append(d.Loads, load.Count{Backend: fmt.Sprint("engine-", b), InFlight: r.IntN(20)})
			}
		}
		if i%4 == 0 {
			d.Reports = []membership.Report{{Backend: "engine-1", Incarnation: 1 << 50, State: membership.Live, InFlight: 140, At: d.At}}
			d.Facts = []membership.Fact{{Name: "engine-2", Incarnation: 1 << 50, State: membership.Leaving}}
		}
		m := core.PeerMessage{Digest: d}
		frame, err := e.Encode(m)
		require.NoError(t, err)
		if i > 20 {
			estimated += m.WireEstimate()
			actual += len(frame) + YamuxHeaderSize
		}
	}
	require.InEpsilon(t, actual, estimated, 0.1)
}
