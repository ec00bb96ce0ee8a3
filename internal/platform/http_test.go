package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/platform"
	standin "github.com/ebonydyke/ebonydyke/test/standin/platform"
)

// bench is a client and its stand-in.
type bench struct {
	*platform.Client
	t   *testing.T
	url string
}

func newBench(t *testing.T) *bench {
	server := httptest.NewServer(standin.New())
	t.Cleanup(server.Close)
	b := &bench{Client: platform.NewClient(server.URL), t: t, url: server.URL}
	t.Cleanup(func() { b.fault(standin.Faults{}) })
	return b
}

func (b *bench) call(method, path string, body any) {
	b.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(b.t, err)
	req, err := http.NewRequest(method, b.url+path, bytes.NewReader(data))
	require.NoError(b.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	require.NoError(b.t, resp.Body.Close())
	require.Equal(b.t, http.StatusOK, resp.StatusCode)
}

func (b *bench) fault(f standin.Faults) { b.call(http.MethodPut, "/fault", f) }

func (b *bench) requireValue(want string, version uint64) {
	b.t.Helper()
	value, v, err := b.Get(b.t.Context(), "k")
	require.NoError(b.t, err)
	require.Equal(b.t, want, string(value))
	require.Equal(b.t, version, v)
}

// requireUnclear requires an error that leaves open whether a write took effect.
func requireUnclear(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	for _, clear := range []error{platform.ErrAbsent, platform.ErrConflict, platform.ErrUnchanged, platform.ErrNotSent} {
		require.NotErrorIs(t, err, clear)
	}
}

func TestCompareAndSwap(t *testing.T) {
	b := newBench(t)
	ctx := t.Context()
	_, _, err := b.Get(ctx, "k")
	require.ErrorIs(t, err, platform.ErrAbsent)
	_, err = b.Swap(ctx, "k", 3, []byte("x"))
	require.ErrorIs(t, err, platform.ErrConflict)
	version, err := b.Swap(ctx, "k", 0, []byte("one"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), version)
	_, err = b.Swap(ctx, "k", 0, []byte("x"))
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = b.Swap(ctx, "k", version, []byte("two"))
	require.NoError(t, err)
	b.requireValue("two", 2)
}

// An operator's edit, or a claim, is taken for lost though it is in the store, or for
// written though it is not: the two look the same to the writer, who must be told
// neither.
func TestLostAnswersAreUnclearBothWays(t *testing.T) {
	b := newBench(t)
	b.fault(standin.Faults{LoseAnswers: 1})
	_, err := b.Swap(t.Context(), "k", 0, []byte("one"))
	requireUnclear(t, err)
	b.requireValue("one", 1)
	b.fault(standin.Faults{LoseWrites: 1})
	_, err = b.Swap(t.Context(), "k", 1, []byte("two"))
	requireUnclear(t, err)
	b.requireValue("one", 1)
	_, err = b.Swap(t.Context(), "k", 1, []byte("two"))
	require.NoError(t, err, "the same write again")
}

// A store that hangs must not hang the instance: the call ends at its deadline, and
// the write may take effect later.
func TestASlowStoreEndsAtTheDeadline(t *testing.T) {
	b := newBench(t)
	b.fault(standin.Faults{Delay: config.Duration(time.Hour)})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := b.Swap(ctx, "k", 0, []byte("one"))
	requireUnclear(t, err)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Only a platform that was surely not reached lets a write be called not sent.
func TestDownAndUnreachable(t *testing.T) {
	b := newBench(t)
	b.fault(standin.Faults{Down: true})
	_, err := b.Swap(t.Context(), "k", 0, []byte("one"))
	requireUnclear(t, err)
	_, err = b.List(t.Context())
	require.Error(t, err)
	b.fault(standin.Faults{})
	_, _, err = b.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrAbsent)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = platform.NewClient("http://"+l.Addr().String()).Swap(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, platform.ErrNotSent)
}

func TestWatch(t *testing.T) {
	b := newBench(t)
	_, err := b.Swap(t.Context(), "k", 0, []byte("one"))
	require.NoError(t, err)
	value, version, err := b.Watch(t.Context(), "k", 0)
	require.NoError(t, err, "a change that came before the watch")
	require.Equal(t, "one", string(value))

	type end struct {
		version uint64
		err     error
	}
	watch := func() <-chan end {
		ended := make(chan end, 1)
		go func() {
			_, v, err := b.Watch(context.WithoutCancel(t.Context()), "k", version)
			ended <- end{v, err}
		}()
		return ended
	}
	ended := watch()
	_, err = b.Swap(t.Context(), "k", version, []byte("two"))
	require.NoError(t, err)
	require.Equal(t, end{version: 2}, <-ended)

	version = 2
	ended = watch()
	b.fault(standin.Faults{Down: true})
	require.Error(t, (<-ended).err, "the platform goes away under a watch")
}

// A store that was restored from a copy shows an older value under a newer version,
// and a list that hangs shows who was there.
func TestOldValuesAndFrozenLists(t *testing.T) {
	b := newBench(t)
	for version, value := range []string{"one", "two", "three"} {
		_, err := b.Swap(t.Context(), "k", uint64(version), []byte(value))
		require.NoError(t, err)
	}
	b.call(http.MethodPost, "/fault/restore/k?back=2", nil)
	b.requireValue("one", 4)

	register := func(name string) {
		b.call(http.MethodPut, "/v1/instances", membership.Instance{Name: name, Role: membership.Entry, State: membership.Live})
	}
	register("entry-1")
	b.fault(standin.Faults{FreezeList: true})
	register("entry-2")
	list, err := b.List(t.Context())
	require.NoError(t, err)
	require.Len(t, list, 1)
	b.fault(standin.Faults{})
	list, err = b.List(t.Context())
	require.NoError(t, err)
	require.Len(t, list, 2)
}

// The HTTP library sends some requests again by itself. A write that it sent twice
// would meet its own first copy as a conflict.
func TestTheLibraryDoesNotSendAWriteAgain(t *testing.T) {
	var puts atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && puts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	c := platform.NewClient(server.URL)
	_, err := c.Swap(t.Context(), "k", 0, []byte("one"))
	require.NoError(t, err)
	_, err = c.Swap(t.Context(), "k", 1, []byte("two"))
	requireUnclear(t, err)
	require.Equal(t, int32(2), puts.Load(), "one each, on the reused connection too")
}

func TestBadAnswersAreErrors(t *testing.T) {
	answers := map[string][]byte{"too large": make([]byte, 2<<20), "no list": []byte("{")}
	for name, body := range answers {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(body)
			}))
			defer server.Close()
			_, err := platform.NewClient(server.URL).List(t.Context())
			require.Error(t, err)
		})
	}
}
