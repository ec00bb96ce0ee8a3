package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/store"
	"github.com/ebonydyke/ebonydyke/platform"
)

// storePoison writes poison records under keys of this instance, so that no instance overwrites the
// record of another.
func (s *storeCalls) storePoison(e core.StorePoison) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	lease, err := s.putPoison(ctx, e)
	if err != nil {
		klog.InfoS("failed to write poison records to the store", "records", len(e.Records), "error", err)
	} else {
		klog.InfoS("wrote poison records to the store", "records", len(e.Records), "lease", lease)
	}
	s.post(core.LeaseReplied{Op: e.Op, Status: storeStatus(err), Lease: lease})
}

func (s *storeCalls) putPoison(ctx context.Context, e core.StorePoison) (lease uint64, err error) {
	items := make([]store.Item, 0, len(e.Records))
	for _, record := range e.Records {
		value, err := json.Marshal(record)
		if err != nil {
			return e.Lease, fmt.Errorf("daemon: encode a poison record: %w", err)
		}
		key := fmt.Sprintf("%s%016x/%s", platform.PoisonPrefix, uint64(record.Key), s.instance)
		items = append(items, store.Item{Key: key, Value: value})
	}
	return s.putWithLease(ctx, e.Lease, e.TTL, items...)
}

// appendPoison appends the poison record in an item, unless it is malformed.
func appendPoison(records []poison.Record, i store.Item) []poison.Record {
	var record poison.Record
	if err := json.Unmarshal(i.Value, &record); err != nil {
		klog.InfoS("invalid poison record", "key", i.Key, "error", err)
		return records
	}
	return append(records, record.Bounded())
}
