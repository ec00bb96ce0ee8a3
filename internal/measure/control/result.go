package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/peer"
)

// pollBytes is what one poll of a report takes in both directions: the request's
// and the answer's HTTP headers and a short JSON body. It is an assumption.
const pollBytes = 400

type count struct{ messages, bytes int }

func (c *count) add(bytes int) {
	c.messages++
	c.bytes += bytes
}

// traffic is what one instance sent and received in the window.
type traffic struct {
	in, out []count
	polls   int
}

func newTraffic() traffic {
	return traffic{in: make([]count, len(peer.Kinds())), out: make([]count, len(peer.Kinds()))}
}

func (t traffic) bytes() (in, out int) {
	for k := range t.in {
		in += t.in[k].bytes
		out += t.out[k].bytes
	}
	return in, out
}

func (t traffic) messages() int {
	n := 0
	for k := range t.in {
		n += t.in[k].messages + t.out[k].messages
	}
	return n
}

// platformCalls counts the calls of the whole fleet in the window.
type platformCalls struct{ reads, writes, watches int }

// Rates are an instance's traffic a second.
type Rates struct {
	BytesIn  float64 `json:"bytes_in"`
	BytesOut float64 `json:"bytes_out"`
	// Total is in and out together, with polls.
	Total    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
	Polls    float64 `json:"polls"`
	Links    int     `json:"links"`
}

// Result is what one size showed.
type Result struct {
	Size
	Busiest Rates `json:"busiest"`
	Mean    Rates `json:"mean"`
	// Kinds are the bytes a second, in and out, of a mean instance by kind.
	Kinds map[string]float64 `json:"kinds"`
	// Platform calls of the whole fleet a second; a waiting watch is one call.
	PlatformReads   float64 `json:"platform_reads"`
	PlatformWrites  float64 `json:"platform_writes"`
	PlatformWatches float64 `json:"platform_watches"`
	Waiting         int     `json:"waiting_watches"`
	// SpreadSeconds is the time until the last instance had a new generation.
	SpreadSeconds float64 `json:"spread_seconds"`
	NotTaken      int     `json:"not_taken"`
	// ReplaceBytes are those of the busiest instance in the 20 s after another one
	// died and a new one came.
	ReplaceBytes int `json:"replace_bytes"`
	// ReplaceSkew is the worst skew in that time.
	ReplaceSkew float64 `json:"replace_skew"`
	// OfferBytes is what one configuration takes on its way to a peer.
	OfferBytes int `json:"offer_bytes"`
	// CoreShare is the processor time of a node as a share of one core.
	CoreShare     float64 `json:"core_share"`
	MemoryPerNode uint64  `json:"memory_per_node"`
	InFlight      float64 `json:"in_flight_per_backend"`
	// SkewWorst and SkewP99 are busiest over mean among the servers of a service in
	// a zone, once the mean is at least minSkewMean requests a server.
	SkewWorst float64 `json:"skew_worst"`
	SkewP99   float64 `json:"skew_p99"`
	Answered  int     `json:"answered"`
	Refused   int     `json:"refused"`
}

func (f *fleet) result() Result {
	r := Result{Size: f.size, Kinds: make(map[string]float64), Waiting: len(f.waiting), Answered: f.answered, Refused: f.refused}
	seconds := window.Seconds()
	n := float64(len(f.instances))
	var cpu time.Duration
	for _, in := range f.instances {
		rates := in.rates()
		if rates.Total > r.Busiest.Total {
			r.Busiest = rates
		}
		r.Mean.add(rates, n)
		cpu += in.cpu
		for _, k := range peer.Kinds() {
			r.Kinds[k.String()] += float64(in.traffic.in[k].bytes+in.traffic.out[k].bytes) / seconds / n
		}
	}
	r.CoreShare = cpu.Seconds() / seconds / n
	r.PlatformReads = float64(f.platform.reads) / seconds
	r.PlatformWrites = float64(f.platform.writes) / seconds
	r.PlatformWatches = float64(f.platform.watches) / seconds
	if len(f.skews) > 0 {
		slices.Sort(f.skews)
		r.SkewWorst = f.skews[len(f.skews)-1]
		r.SkewP99 = f.skews[len(f.skews)*99/100]
	}
	for _, v := range f.inFlight {
		r.InFlight += float64(v) / float64(f.size.Backends)
	}
	return r
}

// minSkewMean is the mean load from which on the skew is bounded.
const minSkewMean = 8

// sampleSkew notes how far the busiest server of each pool stands above the mean.
func (f *fleet) sampleSkew() {
	type pool struct{ sum, most, servers float64 }
	pools := make(map[string]*pool)
	for _, m := range f.members {
		if m.Service == "" {
			continue
		}
		p := pools[m.Service+"/"+m.Zone]
		if p == nil {
			p = &pool{}
			pools[m.Service+"/"+m.Zone] = p
		}
		v := float64(f.inFlight[m.Name])
		p.sum, p.most, p.servers = p.sum+v, max(p.most, v), p.servers+1
	}
	for _, p := range pools {
		if mean := p.sum / p.servers; mean >= minSkewMean {
			f.skews = append(f.skews, p.most/mean)
		}
	}
}

func (in *instance) rates() Rates {
	seconds := window.Seconds()
	bytesIn, bytesOut := in.traffic.bytes()
	return Rates{
		BytesIn:  float64(bytesIn) / seconds,
		BytesOut: float64(bytesOut) / seconds,
		Total:    float64(bytesIn+bytesOut+in.traffic.polls*pollBytes) / seconds,
		Messages: float64(in.traffic.messages()) / seconds,
		Polls:    float64(in.traffic.polls) / seconds,
		Links:    len(in.links),
	}
}

// add adds one of n instances to a mean.
func (r *Rates) add(o Rates, n float64) {
	r.BytesIn += o.BytesIn / n
	r.BytesOut += o.BytesOut / n
	r.Total += o.Total / n
	r.Messages += o.Messages / n
	r.Polls += o.Polls / n
	r.Links = max(r.Links, o.Links)
}

// spreadSeconds is how long the last instance took to have the generation that
// came at a time, and how many don't have it yet.
func (f *fleet) spreadSeconds(changed time.Time) (float64, int) {
	last, missing := changed, 0
	for _, in := range f.instances {
		if in.taken.Before(changed) {
			missing++
		}
		if in.taken.After(last) {
			last = in.taken
		}
	}
	return last.Sub(changed).Seconds(), missing
}

func printHead(w io.Writer) {
	_, _ = fmt.Fprintln(w, "size\tbytes/s busiest\tmean\tin\tout\tdigest\tconfig\tclaims\tmessages/s\tpolls/s\tlinks\tplatform reads/s\twrites/s\twatches/s\twaiting\tspread s\tnot taken\tcore %\tKB/node\tin flight\trefused\tskew worst\tp99\treplace B/s\tskew\toffer bytes\t")
}

func (r Result) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%d\t%.2f\t%d\t%.2f\t%d\t%.1f\t%d\t%.2f\t%.2f\t%.0f\t%.2f\t%d\t\n",
		r.Name, r.Busiest.Total, r.Mean.Total, r.Mean.BytesIn, r.Mean.BytesOut,
		r.Kinds["digest"], r.Kinds["config-offer"]+r.Kinds["config-wanted"], r.Kinds["claim"]+r.Kinds["claim-reply"], r.Mean.Messages, r.Busiest.Polls, r.Busiest.Links,
		r.PlatformReads, r.PlatformWrites, r.PlatformWatches, r.Waiting, r.SpreadSeconds, r.NotTaken,
		100*r.CoreShare, r.MemoryPerNode/1024, r.InFlight, r.Refused, r.SkewWorst, r.SkewP99,
		float64(r.ReplaceBytes)/replaceWindow.Seconds(), r.ReplaceSkew, r.OfferBytes)
}
