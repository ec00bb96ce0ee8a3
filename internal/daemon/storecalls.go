package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/settings"
	"github.com/ebonydyke/ebonydyke/internal/store"
	"github.com/ebonydyke/ebonydyke/platform"
)

// Time limits of calls on the store.
const (
	// callTimeout is far above an answer's usual few milliseconds, and short enough
	// that a connection on which an answer was lost is given up soon.
	callTimeout = 2 * time.Second
	// watchSlack is what a watch may take beyond its wait before its connection is
	// taken for dead: many times the store's usual answer.
	watchSlack = 500 * time.Millisecond
	// lostWatchRead is the time for the read that follows a watch without an answer.
	lostWatchRead = 500 * time.Millisecond
	// leastWatchWait keeps watches from becoming polls.
	leastWatchWait = 500 * time.Millisecond
)

// watchWait is how long the store is to hold a watch. A store in trouble may drop a watch
// without a word: nothing is heard until the watch's time limit, and by then the operators
// count on what it should have brought. Each watch that ends without a change costs a
// call, so the wait is no shorter than that asks for.
func watchWait(settle time.Duration) time.Duration {
	return max(leastWatchWait, settle-watchSlack-lostWatchRead)
}

// instancePrefix is that of the instances' own entries in the store.
const instancePrefix = "ebonydyke/instances/"

// storeCalls carries out the core's calls on the store, each in a goroutine of its
// own, and posts their ends.
type storeCalls struct {
	ctx    context.Context
	post   func(core.Event)
	client *platform.Client
	// instance is the own name.
	instance string
	// watchWait is how long the store holds a watch.
	watchWait time.Duration
	// operators is set where the operators write a configuration of the platform's
	// own form; it names its key and translates its value.
	operators *operatorConfig
	// watched is where the watch of the configuration goes on. It belongs to the one
	// call on that key that is under way.
	watched struct {
		version, revision uint64
	}
}

// operatorConfig is the configuration that the platform's operators write.
type operatorConfig struct {
	bounds atomic.Pointer[platform.Bounds]
	// edits counts the changes of the bounds: a configuration that is translated anew
	// under its old generation takes the place of the former translation.
	edits atomic.Uint64
}

func newStoreCalls(ctx context.Context, post func(core.Event), s *settings.Settings) *storeCalls {
	calls := &storeCalls{
		ctx: ctx, post: post, client: platform.NewClient(s.Platform), instance: s.Name,
		watchWait: watchWait(time.Duration(s.PlatformSettle)),
	}
	if s.Dialect == settings.Platform {
		calls.operators = &operatorConfig{}
		calls.operators.bounds.Store(boundsOf(s.Bounds))
	}
	return calls
}

func boundsOf(b settings.Bounds) *platform.Bounds {
	return &platform.Bounds{
		Skew: b.SkewBound, SkewSlack: b.SkewSlack, RetryShare: b.RetryShare, RetryBurst: b.RetryBurst,
	}
}

// setBounds takes changed bounds and translates the configuration by them.
func (s *storeCalls) setBounds(b settings.Bounds) {
	if s.operators == nil || *s.operators.bounds.Load() == *boundsOf(b) {
		return
	}
	s.operators.bounds.Store(boundsOf(b))
	s.operators.edits.Add(1)
	go s.offerAgain()
}

func (s *storeCalls) offerAgain() {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	value, _, err := s.client.Get(ctx, platform.ConfigKey)
	if err != nil {
		klog.InfoS("changed bounds wait for the next configuration", "error", err)
		return
	}
	offer, err := s.operators.decode(value)
	if err != nil {
		klog.ErrorS(err, "configuration not understood", "key", platform.ConfigKey)
		return
	}
	s.post(core.ConfigOffered(offer))
}

// decode translates the operators' configuration. It is passed on as they wrote it, and
// each instance translates it by its own bounds.
func (o *operatorConfig) decode(value []byte) (core.ConfigOffer, error) {
	text, version, err := platform.DecodeConfig(value, *o.bounds.Load())
	if err != nil {
		return core.ConfigOffer{}, err
	}
	return core.ConfigOffer{
		Envelope: config.Envelope{
			Generation: version, Edit: fmt.Sprintf("operators-%04d", o.edits.Load()), Text: string(value),
		},
		Text: &text,
	}, nil
}

// readOffers lets the configurations that peers pass on be translated by the goroutines
// that receive them, so that the core does not stand still for it.
func (s *storeCalls) readOffers(post func(core.Event)) func(core.Event) {
	if s.operators == nil {
		return post
	}
	return func(e core.Event) {
		received, ok := e.(core.PeerReceived)
		if !ok || received.Message.ConfigOffer == nil {
			post(e)
			return
		}
		offer, err := s.operators.decode([]byte(received.Message.ConfigOffer.Envelope.Text))
		if err != nil {
			klog.ErrorS(err, "configuration not understood", "peer", received.From)
			return
		}
		received.Message.ConfigOffer = &offer
		post(received)
	}
}

func (s *storeCalls) get(e core.StoreGet) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	item, revision, err := s.client.Read(ctx, s.keyOf(e.Key))
	if e.Key == core.ConfigKey {
		s.watched.version, s.watched.revision = item.Revision, revision
	}
	s.replied(e.Op, e.Key, item, err)
}

// replied posts the end of a read.
func (s *storeCalls) replied(op core.OpID, key string, item store.Item, err error) {
	reply := core.StoreReplied{Op: op, Version: item.Revision, Value: item.Value}
	if err == nil && key == core.ConfigKey && s.operators != nil {
		reply.Value = nil
		reply.Config, err = s.translate(item.Value)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		klog.V(1).InfoS("store not read", "key", key, "error", err)
	}
	reply.Status = storeStatus(err)
	s.post(reply)
}

func (s *storeCalls) keyOf(key string) string {
	if key == core.ConfigKey && s.operators != nil {
		return platform.ConfigKey
	}
	return key
}

// translate gives the operators' configuration as an offer.
func (s *storeCalls) translate(value []byte) (*core.ConfigOffer, error) {
	offer, err := s.operators.decode(value)
	if err != nil {
		klog.ErrorS(err, "configuration not understood", "key", platform.ConfigKey)
		return nil, err
	}
	return &offer, nil
}

func (s *storeCalls) swap(e core.StoreSwap) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	version, err := s.client.Swap(ctx, e.Key, e.Version, e.Value)
	s.post(core.StoreReplied{Op: e.Op, Status: storeStatus(err), Version: version})
}

// watch waits until a key's version differs from the one that is known.
func (s *storeCalls) watch(e core.StoreWatch) {
	after := e.Version
	if s.watched.version == e.Version {
		after = max(after, s.watched.revision)
	}
	if after == 0 {
		s.get(core.StoreGet{Op: e.Op, Key: e.Key})
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.watchWait+watchSlack)
	defer cancel()
	key := s.keyOf(e.Key)
	page, err := s.client.Watch(ctx, key, after, s.watchWait)
	switch {
	case errors.Is(err, store.ErrHistoryLost):
		s.get(core.StoreGet{Op: e.Op, Key: e.Key})
		return
	case err != nil:
		s.replied(e.Op, e.Key, store.Item{}, err)
		return
	}
	if page.Revision < after {
		// The store went back: it was restored from a copy, or came back empty. A watch
		// would wait for a revision that lies far ahead.
		s.get(core.StoreGet{Op: e.Op, Key: e.Key})
		return
	}
	s.watched.version, s.watched.revision = e.Version, page.Revision
	newest, found := newestOf(page.Items, key)
	switch {
	case !found:
		s.post(core.StoreReplied{Op: e.Op, Status: core.StoreUnchanged})
	case newest.Deleted:
		s.watched.version = 0
		s.replied(e.Op, e.Key, store.Item{}, store.ErrAbsent)
	default:
		s.watched.version = newest.Revision
		s.replied(e.Op, e.Key, newest, nil)
	}
}

// newestOf returns the last of a key's changes.
func newestOf(changes []store.Item, key string) (newest store.Item, found bool) {
	for _, c := range changes {
		if c.Key == key && c.Revision >= newest.Revision {
			newest, found = c, true
		}
	}
	return newest, found
}

func (s *storeCalls) listBackends(e core.ListBackends) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	page, err := s.client.Range(ctx, platform.BackendPrefix, e.After, false)
	s.backendsRead(e.Op, page, err)
}

func (s *storeCalls) watchBackends(e core.WatchBackends) {
	ctx, cancel := context.WithTimeout(s.ctx, s.watchWait+watchSlack)
	defer cancel()
	page, err := s.client.Watch(ctx, platform.BackendPrefix, e.After, s.watchWait)
	s.backendsRead(e.Op, page, err)
}

func (s *storeCalls) backendsRead(op core.OpID, page store.Page, err error) {
	out := core.BackendsRead{Op: op, Status: storeStatus(err), Revision: page.Revision}
	if err != nil {
		klog.V(1).InfoS("backend servers' entries not read", "error", err)
	}
	for _, i := range page.Items {
		out.Entries = append(out.Entries, backendEntry(i))
		out.Revision = max(out.Revision, i.Revision)
	}
	if page.More && len(page.Items) > 0 {
		out.More = page.Items[len(page.Items)-1].Key
	}
	s.post(out)
}

func backendEntry(i store.Item) core.BackendEntry {
	entry := core.BackendEntry{Name: platform.BackendName(i.Key), Revision: i.Revision}
	if i.Deleted {
		return entry
	}
	backend, err := platform.DecodeBackend(i)
	if err != nil {
		klog.InfoS("entry names no backend server", "error", err, "revision", i.Revision)
		entry.Unreadable = true
		return entry
	}
	entry.Backend = &backend
	return entry
}

func (s *storeCalls) listInstances(e core.ListInstances) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	listed, err := s.instances(ctx)
	if err != nil {
		klog.V(1).InfoS("instances' entries not read", "error", err)
		listed = core.InstancesListed{Failed: true}
	}
	listed.Op = e.Op
	s.post(listed)
}

// instances reads every instance's entry. Stale reads do: who has come or gone a
// moment ago is told by the instances themselves, and they cost a tenth.
func (s *storeCalls) instances(ctx context.Context) (listed core.InstancesListed, err error) {
	for after := ""; ; {
		page, err := s.client.Range(ctx, instancePrefix, after, true)
		if err != nil {
			return listed, err
		}
		for _, i := range page.Items {
			var in membership.Member
			if err := json.Unmarshal(i.Value, &in); err != nil || in.Role != membership.RoleInstance {
				klog.InfoS("entry names no instance", "key", i.Key, "error", err)
				continue
			}
			listed.Members = append(listed.Members, in)
			if in.Name == s.instance {
				listed.OwnLease = i.Lease
			}
		}
		if !page.More || len(page.Items) == 0 {
			return listed, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (s *storeCalls) register(e core.Register) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	lease, err := s.holdEntry(ctx, e)
	if err != nil {
		klog.InfoS("not registered in the store", "error", err)
	}
	s.post(core.LeaseReplied{Op: e.Op, Status: storeStatus(err), Lease: lease})
}

func (s *storeCalls) holdEntry(ctx context.Context, e core.Register) (lease uint64, err error) {
	value, err := json.Marshal(e.Instance)
	if err != nil {
		return e.Lease, fmt.Errorf("daemon: encode the own entry: %w", err)
	}
	lease = e.Lease
	if lease == 0 {
		granted, err := s.client.Grant(ctx, e.TTL)
		if err != nil {
			return 0, err
		}
		lease = granted.ID
	}
	return lease, s.client.Hold(ctx, instancePrefix+e.Instance.Name, value, lease)
}

func (s *storeCalls) renewLease(e core.RenewLease) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.client.Keep(ctx, e.Lease)
	if err != nil {
		klog.InfoS("lease not renewed", "lease", e.Lease, "error", err)
	}
	s.post(core.LeaseReplied{Op: e.Op, Status: storeStatus(err), Lease: e.Lease})
}

// storeStatus maps an error of the store to what the core may conclude.
func storeStatus(err error) core.StoreStatus {
	switch {
	case err == nil:
		return core.StoreOK
	case errors.Is(err, store.ErrAbsent):
		return core.StoreAbsent
	case errors.Is(err, store.ErrConflict):
		return core.StoreConflict
	case errors.Is(err, store.ErrHistoryLost):
		return core.StoreHistoryLost
	case errors.Is(err, store.ErrNotDone):
		return core.StoreFailed
	default:
		return core.StoreUnknown
	}
}
