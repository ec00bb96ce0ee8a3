// Command control measures what the nodes of a fleet spend on talking to each
// other and to the platform: real cores in one process, in virtual time, each
// message coded as on its link. Bytes and counts are the same in every run;
// processor time and memory are the machine's.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/peer"
)

// Size is a fleet to measure.
type Size struct {
	Name      string  `json:"name"`
	Instances int     `json:"instances"`
	Zones     int     `json:"zones"`
	Backends  int     `json:"backends"`
	Services  int     `json:"services"`
	Customers int     `json:"customers"`
	Rate      float64 `json:"requests_per_second_per_instance"`
	// Keyed is the share of requests that are non-idempotent and bring a key.
	Keyed float64 `json:"keyed_share"`
	Seed  uint64  `json:"seed"`
}

// sizes are today's fleet, one availability zone of the two-year fleet at
// several sizes, fleets that differ in their customers alone, and the whole of
// it. Servers stand to instances as 890 to 350 in all but those.
var sizes = []Size{
	{Name: "today", Instances: 8, Zones: 3, Backends: 15, Services: 2, Customers: 10, Rate: 2},
	{Name: "zone-15", Instances: 15, Zones: 1, Backends: 38, Services: 27, Customers: 100, Rate: 37},
	{Name: "zone-30", Instances: 30, Zones: 1, Backends: 76, Services: 27, Customers: 100, Rate: 37},
	{Name: "zone-58", Instances: 58, Zones: 1, Backends: 148, Services: 27, Customers: 100, Rate: 37},
	{Name: "zone-58-keyed", Instances: 58, Zones: 1, Backends: 148, Services: 27, Customers: 100, Rate: 37, Keyed: 0.077},
	{Name: "zone-116", Instances: 116, Zones: 1, Backends: 296, Services: 27, Customers: 100, Rate: 37},
	{Name: "fleet-116", Instances: 116, Zones: 2, Backends: 296, Services: 27, Customers: 100, Rate: 37},
	{Name: "customers-600", Instances: 8, Zones: 1, Backends: 27, Services: 27, Customers: 600, Rate: 37},
	{Name: "customers-2400", Instances: 8, Zones: 1, Backends: 27, Services: 27, Customers: 2400, Rate: 37},
	{Name: "customers-9600", Instances: 8, Zones: 1, Backends: 27, Services: 27, Customers: 9600, Rate: 37},
	{Name: "fleet-350", Instances: 350, Zones: 6, Backends: 890, Services: 27, Customers: 100, Rate: 37},
}

// Times of one run.
const (
	warmUp = 30 * time.Second
	window = 40 * time.Second
	// skewEvery is how often the backend servers' loads are looked at.
	skewEvery = 500 * time.Millisecond
	// replaceWindow is long enough for the list and the links to settle.
	replaceWindow = 20 * time.Second
)

func main() {
	only := flag.String("size", "", "measure only the size of this name")
	rate := flag.Float64("rate", 0, "requests a second an instance, instead of the size's own")
	seed := flag.Uint64("seed", 1, "seed of all random choices")
	out := flag.String("json", "", "write the results as JSON lines to this file")
	flag.Parse()
	if err := run(*only, *rate, *seed, *out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(only string, rate float64, seed uint64, path string) error {
	lines := io.Discard
	if path != "" {
		file, err := os.Create(path)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer func() { _ = file.Close() }()
		lines = file
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { _ = table.Flush() }()
	printHead(table)
	for _, size := range sizes {
		if only != "" && only != size.Name {
			continue
		}
		if rate > 0 {
			size.Rate = rate
		}
		size.Seed = seed
		r := measure(size)
		r.print(table)
		if err := json.NewEncoder(lines).Encode(r); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	return table.Flush()
}

// measure runs one size and, at the end of its window, brings a new generation.
func measure(size Size) Result {
	f := newFleet(size)
	f.run(warmUp)
	f.counting = true
	f.platform = platformCalls{}
	for range window / skewEvery {
		f.run(skewEvery)
		f.sampleSkew()
	}
	f.counting = false
	r := f.result()
	changed := f.now
	f.put(core.ConfigKey, 1, envelope(size, 2))
	f.run(15 * time.Second)
	r.SpreadSeconds, r.NotTaken = f.spreadSeconds(changed)
	r.ReplaceBytes, r.ReplaceSkew = f.replaceOne()
	r.OfferBytes = offerBytes(size)
	r.MemoryPerNode = f.memoryPerNode()
	return r
}

// replaceOne replaces one instance and gives the bytes that the busiest other one
// spent, in and out, in replaceWindow, and the worst skew.
func (f *fleet) replaceOne() (most int, skew float64) {
	for _, in := range f.instances {
		in.traffic = newTraffic()
	}
	f.skews = nil
	f.counting = true
	f.replace(f.instances[len(f.instances)/2])
	for range replaceWindow / skewEvery {
		f.run(skewEvery)
		f.sampleSkew()
	}
	f.counting = false
	for _, in := range f.instances {
		in, out := in.traffic.bytes()
		most = max(most, in+out)
	}
	if len(f.skews) > 0 {
		skew = slices.Max(f.skews)
	}
	return most, skew
}

// offerBytes is the size of the size's text as peers pass it on.
func offerBytes(size Size) int {
	offer := &core.ConfigOffer{Envelope: config.Envelope{Generation: 2, Text: text(size)}}
	frame, err := peer.NewEncoder().Encode(core.PeerMessage{ConfigOffer: offer})
	if err != nil {
		panic(err) // A text that the link can't carry is a fault.
	}
	return len(frame) + peer.YamuxHeader
}

// memoryPerNode is the heap that the nodes hold, by letting go of them.
func (f *fleet) memoryPerNode() uint64 {
	for _, in := range f.instances {
		in.encoders = nil
	}
	f.agenda = nil
	before := heapInUse()
	for _, in := range f.instances {
		in.node = nil
	}
	return (before - heapInUse()) / uint64(len(f.instances))
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
