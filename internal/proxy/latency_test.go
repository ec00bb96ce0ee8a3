package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/proxy"
)

// tokenInterval yields streams of 0.4 s, so that with 256 concurrent streams an instance
// starts about 300 streams per second: eight times the two-year peak.
const tokenInterval = 50 * time.Millisecond

// firstByteTimes records times to first byte in nanoseconds.
type firstByteTimes struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newFirstByteTimes() *firstByteTimes {
	return &firstByteTimes{hist: hdrhistogram.New(1, int64(time.Minute), 3)}
}

func (f *firstByteTimes) record(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.hist.RecordValue(int64(d))
}

func (f *firstByteTimes) quantileMicros(quantile float64) float64 {
	return float64(f.hist.ValueAtQuantile(quantile)) / 1e3
}

// BenchmarkFirstByte measures how much the instance adds to the time to first byte. Each
// worker alternates between direct requests to the engine and requests through the
// instance, so that both run under the same machine load. Caller, instance and engine
// share one process.
func BenchmarkFirstByte(b *testing.B) {
	for _, streams := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			benchmarkFirstByte(b, streams)
		})
	}
}

func benchmarkFirstByte(b *testing.B, streams int) {
	engines, addresses := startEngines(b, 1, tokenInterval)
	engines[0].CacheChats = 1
	i := startInstance(b, fleetConfig(addresses, nil), proxy.Options{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * streams}}
	direct, through := newFirstByteTimes(), newFirstByteTimes()
	measure := func(url string, f *firstByteTimes) {
		f.record(timeFirstByte(b, client, url))
	}
	measure("http://"+addresses[0], newFirstByteTimes())
	measure(i.url, newFirstByteTimes())
	work := make(chan struct{})
	var workers sync.WaitGroup
	for n := range streams {
		workers.Go(func() {
			time.Sleep(8 * tokenInterval * time.Duration(n) / time.Duration(streams))
			for range work {
				measure("http://"+addresses[0], direct)
				measure(i.url, through)
			}
		})
	}
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	workers.Wait()
	b.StopTimer()
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		b.ReportMetric(direct.quantileMicros(q.at), "direct-"+q.name+"-µs")
		b.ReportMetric(through.quantileMicros(q.at), "through-"+q.name+"-µs")
		b.ReportMetric(through.quantileMicros(q.at)-direct.quantileMicros(q.at), "added-"+q.name+"-µs")
	}
}

func timeFirstByte(b *testing.B, client *http.Client, url string) time.Duration {
	req := newChat(b, url, true, nil)
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	took := time.Since(begun)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		b.Error(err)
	}
	return took
}

// BenchmarkStreamMemory measures the heap and stack memory per open stream. It includes
// the memory of the engine and the caller, so it is an upper bound for the instance.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 256
	for range b.N {
		engines, addresses := startEngines(b, 1, time.Hour)
		i := startInstance(b, fleetConfig(addresses, nil), proxy.Options{})
		before := memoryInUse()
		for range streams {
			conn := dial(b, i.address)
			require.NoError(b, newChat(b, i.url, true, nil).Write(conn))
		}
		require.Eventually(b, func() bool { return engines[0].Stats().InFlight == streams }, waitTimeout, pollInterval)
		b.ReportMetric(float64(memoryInUse()-before)/streams, "bytes/stream")
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
