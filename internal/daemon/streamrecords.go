package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/entries"
	"github.com/ebonydyke/ebonydyke/internal/core/streams"
	"github.com/ebonydyke/ebonydyke/internal/store"
)

// streamPrefix is the prefix of the keys of stored records of streams. The name of the instance and its incarnation follow, so that
// an instance that has restarted leaves the records of the process before.
const streamPrefix = "ebonydyke/streams/"

// historyEntry returns the software history as an entry.
func historyEntry(i store.Item) entries.Entry {
	entry := entries.Entry{Name: entries.HistoryName, Revision: i.Revision}
	if i.Deleted {
		return entry
	}
	var history streams.History
	if err := json.Unmarshal(i.Value, &history); err != nil {
		klog.InfoS("invalid software history", "error", err, "revision", i.Revision)
		entry.Unreadable = true
		return entry
	}
	entry.History = &history
	return entry
}

// storeStreams writes the records of this instance's streams under a key of this process.
func (s *storeCalls) storeStreams(e core.StoreStreams) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	lease, err := s.putStreams(ctx, e)
	if err != nil {
		klog.InfoS("failed to write records of streams to the store", "records", len(e.Records), "error", err)
	}
	s.post(core.LeaseReplied{Op: e.Op, Status: storeStatus(err), Lease: lease})
}

func (s *storeCalls) putStreams(ctx context.Context, e core.StoreStreams) (lease uint64, err error) {
	value, err := streams.EncodeStored(e.Records)
	if err != nil {
		return e.Lease, fmt.Errorf("daemon: encode records of streams: %w", err)
	}
	key := streamPrefix + s.instance + "/" + strconv.FormatUint(s.incarnation, 10)
	return s.putWithLease(ctx, e.Lease, e.TTL, store.Item{Key: key, Value: value})
}

// listStreams reads the records of streams of all instances.
func (s *storeCalls) listStreams(e core.ListStreams) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	records, err := s.readStreams(ctx)
	if err != nil {
		klog.InfoS("failed to read the records of streams in the store", "error", err)
	} else {
		klog.InfoS("read the records of streams in the store", "records", len(records))
	}
	s.post(core.StreamsListed{Op: e.Op, Failed: err != nil, Records: records})
}

func (s *storeCalls) readStreams(ctx context.Context) (records []streams.Record, err error) {
	for after := ""; ; {
		page, err := s.client.Range(ctx, streamPrefix, after, false)
		if err != nil {
			return nil, err
		}
		for _, i := range page.Items {
			decoded, err := streams.DecodeStored(i.Value)
			if err != nil {
				klog.InfoS("invalid records of streams", "key", i.Key, "error", err)
				continue
			}
			records = append(records, decoded...)
		}
		if !page.More || len(page.Items) == 0 {
			return records, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
