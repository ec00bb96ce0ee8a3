package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/configcopy"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/membership"
	"github.com/ebonydyke/ebonydyke/internal/settings"
	"github.com/ebonydyke/ebonydyke/internal/store"
	"github.com/ebonydyke/ebonydyke/platform"
)

// callTimeout is the time limit of calls for which the core sets none. It is far above the usual
// response time of a few milliseconds, but short enough to abandon soon a connection on which a
// response was lost.
const callTimeout = 2 * time.Second

// instancePrefix is the prefix of the keys of the instances' entries in the store.
const instancePrefix = "ebonydyke/instances/"

// storeCalls executes the store calls that the core requests, each in its own goroutine, and posts
// their results.
type storeCalls struct {
	ctx    context.Context
	post   func(core.Event)
	client *platform.Client
	// instance is the name of this instance.
	instance string
	// incarnation is that of this process.
	incarnation uint64
	// translator is set if the operators write the configuration in the platform's format. The
	// configuration is then read from platform.ConfigKey and translated.
	translator *configTranslator
}

// configTranslator translates the configuration that the operators write in the platform's format.
type configTranslator struct {
	bounds atomic.Pointer[platform.Bounds]
	// boundsChanges counts the changes of the bounds. It is part of the configuration's edit ID, so
	// that a new translation of the same generation replaces the previous one.
	boundsChanges atomic.Uint64
}

func newStoreCalls(ctx context.Context, post func(core.Event), s *settings.Settings) *storeCalls {
	calls := &storeCalls{
		ctx: ctx, post: post, client: platform.NewClient(s.Platform), instance: s.Name,
	}
	if s.Dialect == settings.DialectPlatform {
		calls.translator = &configTranslator{}
		calls.translator.bounds.Store(boundsOf(s.Bounds))
	}
	return calls
}

func boundsOf(b settings.Bounds) *platform.Bounds {
	return &platform.Bounds{
		SkewBound: b.SkewBound, SkewSlack: b.SkewSlack, RetryShare: b.RetryShare, RetryBurst: b.RetryBurst,
		WarmUpOverage: b.WarmUpOverage, WarmUpSlack: b.WarmUpSlack,
	}
}

// setBounds sets the bounds and, if they have changed, translates the configuration again.
func (s *storeCalls) setBounds(b settings.Bounds) {
	if s.translator == nil || *s.translator.bounds.Load() == *boundsOf(b) {
		return
	}
	s.translator.bounds.Store(boundsOf(b))
	s.translator.boundsChanges.Add(1)
	go s.reofferConfig()
}

func (s *storeCalls) reofferConfig() {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	value, _, err := s.client.Get(ctx, platform.ConfigKey)
	if err != nil {
		klog.InfoS("failed to read the configuration; changed bounds apply from the next configuration", "error", err)
		return
	}
	offer, err := s.translator.decode(value)
	if err != nil {
		klog.ErrorS(err, "failed to decode the configuration", "key", platform.ConfigKey)
		return
	}
	s.post(core.ConfigOffered(offer))
}

// decode translates the operators' configuration. The envelope holds the original, because each
// instance translates it with its own bounds.
func (o *configTranslator) decode(value []byte) (core.ConfigOffer, error) {
	decoded, err := platform.DecodeConfig(value, *o.bounds.Load())
	if err != nil {
		return core.ConfigOffer{}, err
	}
	return core.ConfigOffer{
		Envelope: config.Envelope{
			Generation: decoded.Version, Edit: fmt.Sprintf("operators-%04d", o.boundsChanges.Load()), Text: string(value),
		},
		Text: &decoded.Text, Adjusted: decoded.Adjustments,
	}, nil
}

// translateOffers returns a function that translates the configurations offered by peers before it
// passes the events to post. The goroutines that receive the offers translate them, so that the
// core is not blocked meanwhile.
func (s *storeCalls) translateOffers(post func(core.Event)) func(core.Event) {
	if s.translator == nil {
		return post
	}
	return func(e core.Event) {
		received, ok := e.(core.PeerReceived)
		if !ok || received.Message.ConfigOffer == nil {
			post(e)
			return
		}
		offer, err := s.translator.decode([]byte(received.Message.ConfigOffer.Envelope.Text))
		if err != nil {
			klog.ErrorS(err, "failed to decode the configuration", "peer", received.From)
			return
		}
		received.Message.ConfigOffer = &offer
		post(received)
	}
}

func (s *storeCalls) get(e core.StoreGet) {
	if e.Key == core.ConfigKey {
		s.readOperatorKeys(e)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, cmp.Or(e.Timeout, callTimeout))
	defer cancel()
	value, version, err := s.client.Get(ctx, e.Key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		klog.V(1).InfoS("failed to read from the store", "key", e.Key, "error", err)
	}
	reply := core.StoreReplied{Op: e.Op, Status: storeStatus(err), Version: version, Value: value}
	if err == nil && e.Key == core.ConfigCopyKey && s.translator != nil {
		s.translateCopy(&reply)
	}
	s.post(reply)
}

// translate replaces the value of a reply by the operators' configuration in it. The call has succeeded even if the text cannot be
// read: the store has nothing newer.
func (s *storeCalls) translate(reply *core.StoreReplied, text []byte) {
	reply.Value = nil
	offer, err := s.translator.decode(text)
	if err != nil {
		reply.Problem = err.Error()
		return
	}
	reply.Config = &offer
}

// translateCopy replaces the value of a reply by the configuration in the instances' copy.
func (s *storeCalls) translateCopy(reply *core.StoreReplied) {
	env, err := configcopy.Decode(reply.Value)
	if err != nil {
		reply.Value, reply.Problem = nil, err.Error()
		return
	}
	s.translate(reply, []byte(env.Text))
}

func (s *storeCalls) swap(e core.StoreSwap) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	version, err := s.client.Swap(ctx, storeKey(e.Key), e.Version, e.Value)
	s.post(core.StoreReplied{Op: e.Op, Status: storeStatus(err), Version: version})
}

// storeKey returns the key in the store for a key of the core.
func storeKey(key string) string {
	if key == core.SoftwareHistoryKey {
		return platform.SoftwareHistoryKey
	}
	return key
}

// latestChange returns the latest change of a key.
func latestChange(changes []store.Item, key string) (newest store.Item, found bool) {
	for _, c := range changes {
		if c.Key == key && c.Revision >= newest.Revision {
			newest, found = c, true
		}
	}
	return newest, found
}

func (s *storeCalls) listBackends(e core.ListBackends) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	page, err := s.client.Range(ctx, platform.WatchedPrefix, e.After, false)
	s.postBackends(e.Op, page, err)
}

func (s *storeCalls) watchBackends(e core.WatchBackends) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	page, err := s.client.Watch(ctx, platform.WatchedPrefix, e.After, e.Hold)
	s.postBackends(e.Op, page, err)
}

func (s *storeCalls) postBackends(op core.OpID, page store.Page, err error) {
	out := core.BackendsRead{Op: op, Status: storeStatus(err), Revision: page.Revision}
	if err != nil {
		klog.V(1).InfoS("failed to read the entries of the backend servers", "error", err)
	}
	for _, i := range page.Items {
		switch {
		case strings.HasPrefix(i.Key, platform.BackendPrefix):
			out.Entries = append(out.Entries, backendEntry(i))
		case i.Key == platform.SoftwareHistoryKey:
			out.Entries = append(out.Entries, historyEntry(i))
		case strings.HasPrefix(i.Key, platform.PoisonPrefix) && !i.Deleted:
			out.Poison = appendPoison(out.Poison, i)
		}
		out.Revision = max(out.Revision, i.Revision)
	}
	if page.More && len(page.Items) > 0 {
		out.More = page.Items[len(page.Items)-1].Key
	}
	s.post(out)
}

func backendEntry(i store.Item) entries.Entry {
	entry := entries.Entry{Name: platform.BackendName(i.Key), Revision: i.Revision}
	if i.Deleted {
		return entry
	}
	backend, err := platform.DecodeBackend(i)
	if err != nil {
		klog.InfoS("invalid entry of a backend server", "error", err, "revision", i.Revision)
		entry.Unreadable = true
		return entry
	}
	entry.Backend = &backend
	return entry
}

func (s *storeCalls) listInstances(e core.ListInstances) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	listed, err := s.readInstances(ctx)
	if err != nil {
		klog.V(1).InfoS("failed to read the entries of the instances", "error", err)
		listed = core.InstancesListed{Failed: true}
	}
	listed.Op = e.Op
	s.post(listed)
}

// readInstances reads the entries of all instances. Stale reads suffice, because the instances
// report recent arrivals and departures themselves, and they cost a tenth of a consistent read.
func (s *storeCalls) readInstances(ctx context.Context) (listed core.InstancesListed, err error) {
	for after := ""; ; {
		page, err := s.client.Range(ctx, instancePrefix, after, true)
		if err != nil {
			return listed, err
		}
		for _, i := range page.Items {
			var member membership.Member
			if err := json.Unmarshal(i.Value, &member); err != nil || member.Role != membership.RoleInstance {
				klog.InfoS("invalid entry of an instance", "key", i.Key, "error", err)
				continue
			}
			listed.Members = append(listed.Members, member)
			if member.Name == s.instance {
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
	lease, err := s.putEntry(ctx, e)
	if err != nil {
		klog.InfoS("failed to register in the store", "error", err)
	}
	s.post(core.LeaseReplied{Op: e.Op, Status: storeStatus(err), Lease: lease})
}

func (s *storeCalls) putEntry(ctx context.Context, e core.Register) (lease uint64, err error) {
	value, err := json.Marshal(e.Instance)
	if err != nil {
		return e.Lease, fmt.Errorf("daemon: encode the entry of this instance: %w", err)
	}
	return s.putWithLease(ctx, e.Lease, e.TTL, store.Item{Key: instancePrefix + e.Instance.Name, Value: value})
}

// putWithLease writes items under a lease, which it acquires first if there is none. It returns the
// lease even if nothing was written.
func (s *storeCalls) putWithLease(ctx context.Context, lease uint64, ttl time.Duration, items ...store.Item) (uint64, error) {
	if lease == 0 {
		granted, err := s.client.GrantLease(ctx, ttl)
		if err != nil {
			return 0, err
		}
		lease = granted.ID
	}
	return lease, s.client.PutWithLease(ctx, lease, items...)
}

func (s *storeCalls) renewLease(e core.RenewLease) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.client.RenewLease(ctx, e.Lease)
	if err != nil {
		klog.InfoS("failed to renew the lease", "lease", e.Lease, "error", err)
	}
	s.post(core.LeaseReplied{Op: e.Op, Status: storeStatus(err), Lease: e.Lease})
}

// storeStatus maps an error of a store call to the status that the core receives.
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
	case errors.Is(err, store.ErrNotApplied):
		return core.StoreFailed
	default:
		return core.StoreUnknown
	}
}
