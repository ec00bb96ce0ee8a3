// Package rendezvous implements rendezvous hashing: it ranks names for a key so that all instances
// with the same names compute the same order, and removing a name moves only the keys assigned to
// it.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a name or key. All instances must use the same function, or their
// rankings differ.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// HashPair returns the hash of a key of two parts without concatenating them.
func HashPair(first, second string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(first)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(second)
	return d.Sum64()
}

// Unit maps a hash to a number in [0, 1), so that hashes are spread evenly.
func Unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// Score returns the score of a name for a key, given both hashes; the highest score ranks first.
// The score depends on nothing else, so removing a name moves only its own keys.
func Score(key, name uint64) uint64 {
	x := key ^ (name * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Top returns up to k of the names, highest ranked first. Of names with equal scores, the
// lexically smaller one ranks higher.
func Top(key uint64, names []string, k int) []string {
	top := make([]string, 0, k+1)
	scores := make([]uint64, 0, k+1)
	for _, name := range names {
		score := Score(key, Hash(name))
		i := len(top)
		for i > 0 && ranksAbove(score, name, scores[i-1], top[i-1]) {
			i--
		}
		if i >= k {
			continue
		}
		top = insertAt(top, i, name, k)
		scores = insertAt(scores, i, score, k)
	}
	return top
}

// ranksAbove reports whether a name ranks above another.
func ranksAbove(score uint64, name string, otherScore uint64, other string) bool {
	if score != otherScore {
		return score > otherScore
	}
	return name < other
}

// insertAt inserts v at index i and truncates the list to k elements.
func insertAt[T any](list []T, i int, v T, k int) []T {
	list = append(list, v)
	copy(list[i+1:], list[i:])
	list[i] = v
	return list[:min(len(list), k)]
}
