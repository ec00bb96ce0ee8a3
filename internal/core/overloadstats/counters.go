package overloadstats

import (
	"fmt"
	"hash/fnv"
	"strings"
	"unicode/utf8"
)

// counters is a table of counters with a bounded number of rows. A key without a row is counted in the row that rest names.
type counters[K comparable] struct {
	values map[K]uint64
	limit  int
	rest   func(K) K
}

func newCounters[K comparable](limit int, rest func(K) K) *counters[K] {
	return &counters[K]{values: make(map[K]uint64, limit), limit: limit, rest: rest}
}

func (c *counters[K]) add(key K) {
	if _, known := c.values[key]; !known && len(c.values) >= c.limit {
		key = c.rest(key)
	}
	c.values[key]++
}

func (c *counters[K]) each(f func(K, uint64)) {
	for key, value := range c.values {
		f(key, value)
	}
}

func (c *counters[K]) keep(wanted func(K) bool) {
	for key := range c.values {
		if !wanted(key) {
			delete(c.values, key)
		}
	}
}

// MaxLabelBytes is the maximum length of a name in a label.
const MaxLabelBytes = 40

// escaped are the characters that take two bytes in the text of a scrape.
const escaped = "\"\\\n"

// Label returns a name as it is shown in a label, of at most MaxLabelBytes. A name that is longer, or has characters that must be
// escaped, is cut and ends with a hash of the whole name: two rows with the same labels would make the scrape fail.
func Label(name string) string {
	special := strings.IndexAny(name, escaped)
	if len(name) <= MaxLabelBytes && special < 0 && utf8.ValidString(name) {
		return name
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	const hashBytes = 17
	cut := min(len(name), MaxLabelBytes-hashBytes)
	if special >= 0 {
		cut = min(cut, special)
	}
	return strings.ToValidUTF8(name[:cut], "") + fmt.Sprintf("~%016x", hash.Sum64())
}
