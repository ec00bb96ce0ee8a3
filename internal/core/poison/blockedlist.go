package poison

import "slices"

// BlockedList holds the keys that were blocked when it was last updated, for logging. Its zero value holds none.
type BlockedList struct{ keys []Key }

// Has reports whether a key was blocked at the last update.
func (b *BlockedList) Has(key Key) bool { return slices.Contains(b.keys, key) }

// Update takes over the keys that are blocked now. It returns those that were not, and those that no longer are.
func (b *BlockedList) Update(t *Tracker) (added, removed []Key) {
	blocked := t.BlockedKeys()
	if slices.Equal(blocked, b.keys) {
		return nil, nil
	}
	lacks := func(list []Key) func(Key) bool { return func(key Key) bool { return !slices.Contains(list, key) } }
	added, removed = filter(blocked, lacks(b.keys)), filter(b.keys, lacks(blocked))
	b.keys = blocked
	return added, removed
}

// filter returns the keys for which keep returns true.
func filter(keys []Key, keep func(Key) bool) []Key {
	var kept []Key
	for _, key := range keys {
		if keep(key) {
			kept = append(kept, key)
		}
	}
	return kept
}
