package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replica is a sound replica. Its streams have events with increasing ids, and a request that names the last event goes on behind it.
type replica struct {
	id, service, zone, address, version, store string
	slots, events                              int
	interval, work                             time.Duration
	drain                                      time.Duration
	unframed                                   bool
	born                                       time.Time
	running                                    atomic.Int64
	sequence                                   int
	mu                                         sync.Mutex
}

// runReplica runs a replica until SIGTERM, after which it drains.
func runReplica(args []string) {
	r := &replica{born: time.Now()}
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.StringVar(&r.zone, "zone", "", "")
	flags.StringVar(&r.address, "address", "", "")
	flags.StringVar(&r.version, "version", "v1", "")
	flags.StringVar(&r.store, "store", "", "")
	flags.IntVar(&r.slots, "slots", 64, "")
	flags.IntVar(&r.events, "events", 80, "")
	flags.DurationVar(&r.interval, "interval", 100*time.Millisecond, "")
	flags.DurationVar(&r.work, "work", 60*time.Millisecond, "")
	flags.DurationVar(&r.drain, "drain", 3*time.Second, "")
	flags.BoolVar(&r.unframed, "unframed", false, "")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fmt.Println("cannot listen:", err)
		os.Exit(exitCannot)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() { _ = http.Serve(l, r) }()
	r.register("ready")
	fmt.Printf("up id=%s version=%s\n", r.id, r.version)
	beat := time.NewTicker(heartbeat)
	for {
		select {
		case <-beat.C:
			r.register("ready")
		case <-stop:
			r.register("draining")
			fmt.Printf("draining id=%s\n", r.id)
			time.Sleep(r.drain)
			r.call(http.MethodDelete, nil)
			return
		}
	}
}

// register writes the replica's entry.
func (r *replica) register(state string) {
	r.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "phase": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": r.sequence, "born": r.born.UnixMilli(),
	})
	r.call(http.MethodPut, entry)
}

func (r *replica) call(method string, value []byte) {
	req, err := http.NewRequest(method, "http://"+r.store+"/operator/servers/"+r.id, bytes.NewReader(value))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/healthz":
		out.Header().Set("Instance-Id", r.id)
		return
	case "/report":
		out.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(out, `{"phase":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":%d,"kvUsed":0,"kvTotal":557231,"handles":0,"born":%d}`, r.running.Load(), r.born.UnixMilli())
		return
	}
	id := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		out.Header().Set("Instance-Id", r.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	out.Header().Set("Server-Seal", fmt.Sprintf("%s.%s.%s", r.id, r.version, id))
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fmt.Printf("runs request=%s replica=%s version=%s service=%s path=%s after=%d tenant=%s expects=%s\n",
		id, r.id, r.version, r.service, req.URL.Path, after, req.Header.Get("Tenant"), req.Header.Get("Expect-Instance"))
	if req.Header.Get("Prefix-Hash") == "" && r.unframed {
		r.answerUnframed(out, id)
		return
	}
	if req.Header.Get("Prefix-Hash") == "" {
		time.Sleep(r.work)
		_, _ = fmt.Fprintf(out, "%s by %s %s of %s\n", id, r.id, r.version, r.service)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	if r.unframed {
		r.streamUnframed(out, after)
		return
	}
	for n := after + 1; n <= r.events; n++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %s %d\n\n", n, r.id, r.version, n)
		out.(http.Flusher).Flush()
		select {
		case <-time.After(r.interval):
		case <-req.Context().Done():
			return
		}
	}
}

// beginUnframed sends the head of an answer with neither a length nor chunks, which ends with its channel.
func beginUnframed(out http.ResponseWriter) (net.Conn, error) {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return nil, err
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = out.Header().Write(&head)
	head.WriteString("\r\n")
	_, err = conn.Write(head.Bytes())
	return conn, err
}

// answerUnframed sends a plain answer in two parts, the second one after the work is done.
func (r *replica) answerUnframed(out http.ResponseWriter, id string) {
	conn, err := beginUnframed(out)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "%s by %s %s of %s\n", id, r.id, r.version, r.service)
	time.Sleep(r.work)
	_, _ = fmt.Fprintf(conn, "%s", lastLine)
}

// lastLine is the last line of a plain answer that is sent in two parts.
const lastLine = "this is the end\n"

// streamUnframed sends a stream with neither a length nor chunks.
func (r *replica) streamUnframed(out http.ResponseWriter, after int) {
	conn, err := beginUnframed(out)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for n := after + 1; n <= r.events && err == nil; n++ {
		_, err = fmt.Fprintf(conn, "id: %d\ndata: %s %s %d\n\n", n, r.id, r.version, n)
		time.Sleep(r.interval)
	}
}
