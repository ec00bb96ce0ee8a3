package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ebonydyke/ebonydyke/platform/fakeplatform"
)

// replica is a stand-in for a replica. It processes slots requests at once, queues a few more, and refuses the others with
// Not-Executed, as the page of the protocol says. It echoes the Attempt-Id in all of its answers.
type replica struct {
	world    *world
	id       string
	service  string
	zone     string
	slots    int
	queue    int
	work     time.Duration
	listener net.Listener
	slotFree chan struct{}
	// extra decides whether an answer is sent a second time, late: at the point where the next answer on its channel is due.
	// It is nil for a sound replica.
	extra func() bool

	mu     sync.Mutex
	held   int
	conns  map[net.Conn]bool
	closed bool
}

// received is a request as it reached a replica.
type received struct {
	id, method, target, body string
	header                   http.Header
}

// addReplica starts a replica and registers it in the store.
func (w *world) addReplica(r *replica) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.world, r.listener = w, l
	r.slotFree = make(chan struct{}, r.slots)
	r.conns = make(map[net.Conn]bool)
	w.replicas = append(w.replicas, r)
	go r.accept()
	w.store.Register(fakeplatform.Backend{
		Name: r.id, Service: r.service, Zone: r.zone, Address: l.Addr().String(), Slots: r.slots, StartedAt: time.Now(),
	})
	return r
}

func (r *replica) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		closed := r.closed
		r.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go r.serve(c)
	}
}

// serve serves the requests on a channel one after the other.
func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	late := ""
	for {
		q, err := readRequest(in)
		if err != nil {
			return
		}
		if late != "" {
			r.world.record.add("second answer sent late", "replica", r.id, "before the answer to", q.id, "text", firstLines(late))
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer, again, err := r.handle(q, out)
		if err != nil {
			return
		}
		if again {
			late = answer
		}
	}
}

// readRequest reads a request with its body.
func readRequest(in *bufio.Reader) (*received, error) {
	h, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(h.Body)
	if err != nil {
		return nil, err
	}
	return &received{id: h.Header.Get("Attempt-Id"), method: h.Method, target: h.RequestURI, body: string(body), header: h.Header}, nil
}

// handle answers a request. It returns the answer, and whether it is to be sent again.
func (r *replica) handle(q *received, out *bufio.Writer) (answer string, again bool, err error) {
	switch {
	case q.target == "/healthz":
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", r.id, r.load())
	case q.target == "/report":
		answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	case q.header.Get("Expect-Instance") != "" && q.header.Get("Expect-Instance") != r.id:
		answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id, r.id)
	case !r.hold():
		r.world.record.add("refused by replica", "replica", r.id, "id", q.id)
		answer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n",
			q.id, r.load())
	default:
		answer = r.run(q)
	}
	again = r.extra != nil && q.id != "" && r.extra()
	if _, err := out.WriteString(answer); err != nil {
		return "", false, err
	}
	return answer, again, out.Flush()
}

// run runs a request and returns its answer.
func (r *replica) run(q *received) string {
	defer r.release()
	r.slotFree <- struct{}{}
	r.began(q)
	time.Sleep(r.work)
	<-r.slotFree
	body := answerBody(q.id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s",
		q.id, seal(r.id, q.id), r.load(), len(body), body)
}

// began records that a request begins to run.
func (r *replica) began(q *received) {
	r.world.record.ran(q.id)
	r.world.record.add("runs", "replica", r.id, "id", q.id, "target", q.target, "tenant", q.header.Get("Tenant"), "key", q.header.Get("Authorization"))
}

// hold takes a place for a request, unless the slots and the queue are full.
func (r *replica) hold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held >= r.slots+r.queue {
		return false
	}
	r.held++
	return true
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
}

// load returns the value of Server-Load.
func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	running := min(r.held, r.slots)
	return fmt.Sprintf("%d,%d,%d", running, r.held-running, r.slots)
}

// answerBody is the body of the answer to a request, and seal the receipt of the replica.
func answerBody(id string) string { return strings.Repeat("answer to "+id+"\n", 4) }

func seal(replica, id string) string { return replica + "." + id }

// firstLines returns the status line and the Attempt-Id of an answer.
func firstLines(answer string) string {
	lines := strings.SplitN(answer, "\r\n", 3)
	return strings.Join(lines[:min(2, len(lines))], " / ")
}
