package daemon

import (
	"cmp"
	"context"
	"errors"
	"strings"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/evacuation"
	"github.com/ebonydyke/ebonydyke/internal/store"
	"github.com/ebonydyke/ebonydyke/platform"
)

// operatorKeys are the keys that operators write: the configuration, and one key for each evacuated zone. One watch covers
// them, since a watch matches by prefix.
type operatorKeys struct {
	config, evacuations, prefix string
}

// operatorKeys returns the keys that the operators of this fleet write.
func (s *storeCalls) operatorKeys() operatorKeys {
	if s.translator != nil {
		return operatorKeys{config: platform.ConfigKey, evacuations: platform.EvacuationPrefix, prefix: platform.OperatorPrefix}
	}
	return operatorKeys{config: core.ConfigKey, evacuations: core.EvacuationPrefix, prefix: core.ConfigKey}
}

// readOperatorKeys reads the configuration and all evacuations. The pages are no consistent state: the watch goes on from the
// revision of the first one, and repeats the changes made between them.
func (s *storeCalls) readOperatorKeys(e core.StoreGet) {
	ctx, cancel := context.WithTimeout(s.ctx, cmp.Or(e.Timeout, callTimeout))
	defer cancel()
	keys := s.operatorKeys()
	config, configErr := store.Item{}, store.ErrAbsent
	read := &evacuation.Read{Complete: true}
	for after, more := "", true; more; {
		page, err := s.client.Range(ctx, keys.prefix, after, false)
		if err != nil {
			s.postReadResult(core.StoreReplied{Op: e.Op}, keys.config, store.Item{}, err)
			return
		}
		read.Revision = cmp.Or(read.Revision, page.Revision)
		for _, i := range page.Items {
			after = i.Key
			if i.Key == keys.config {
				config, configErr = i, nil
			}
			keys.addEvacuation(read, i)
		}
		more = page.More && len(page.Items) > 0
	}
	s.postReadResult(core.StoreReplied{Op: e.Op, Evacuations: read}, keys.config, config, configErr)
}

// addEvacuation adds an item to an answer if it is the key of an evacuated zone. Its value does not matter.
func (k *operatorKeys) addEvacuation(read *evacuation.Read, i store.Item) {
	name, found := strings.CutPrefix(i.Key, k.evacuations)
	if !found {
		return
	}
	zone := evacuation.Zone{Name: name, Revision: i.Revision}
	if i.Deleted {
		read.Removals = append(read.Removals, evacuation.Removal(zone))
		return
	}
	read.Zones = append(read.Zones, zone)
}

// watchOperatorKeys waits until the configuration or an evacuation changes. If the changes since the known revision cannot be
// told, all is read.
func (s *storeCalls) watchOperatorKeys(e core.StoreWatch) {
	readAll := core.StoreGet{Op: e.Op, Key: e.Key, Timeout: e.Timeout}
	if e.After == 0 {
		s.readOperatorKeys(readAll)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	keys := s.operatorKeys()
	page, err := s.client.Watch(ctx, keys.prefix, e.After, e.Hold)
	switch {
	case errors.Is(err, store.ErrHistoryLost):
		s.readOperatorKeys(readAll)
		return
	case err != nil:
		s.postReadResult(core.StoreReplied{Op: e.Op}, keys.config, store.Item{}, err)
		return
	case page.Revision < e.After:
		// The store's revision has decreased: it was restored from a backup or restarted empty.
		// A watch would wait for a revision that is far ahead.
		s.readOperatorKeys(readAll)
		return
	}
	reply := core.StoreReplied{Op: e.Op, Evacuations: &evacuation.Read{Revision: page.Revision}}
	for _, i := range page.Items {
		keys.addEvacuation(reply.Evacuations, i)
	}
	newest, found := latestChange(page.Items, keys.config)
	switch {
	case !found:
		reply.Status = core.StoreUnchanged
		s.post(reply)
	case newest.Deleted:
		s.postReadResult(reply, keys.config, store.Item{}, store.ErrAbsent)
	default:
		s.postReadResult(reply, keys.config, newest, nil)
	}
}

// postReadResult posts the result of a read of the configuration, with what the reply holds already.
func (s *storeCalls) postReadResult(reply core.StoreReplied, key string, item store.Item, err error) {
	reply.Version, reply.Value = item.Revision, item.Value
	if err == nil && s.translator != nil {
		s.translate(&reply, item.Value)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		klog.V(1).InfoS("failed to read from the store", "key", key, "error", err)
	}
	reply.Status = storeStatus(err)
	s.post(reply)
}
