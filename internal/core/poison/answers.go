package poison

import "time"

// maxAnswers bounds the entries in each of the two generations of answers, at about 100 bytes each.
const maxAnswers = 8192

// answers holds the time of the latest answer to a request with each part, so that a part that was answered a moment ago
// is not taken for what ends servers. It keeps two generations: once the newer one is full, it replaces the older one.
type answers struct {
	newer, older map[answerKey]time.Time
}

// answerKey is a part, and the software that answered a request with it.
type answerKey struct {
	part     Key
	software string
}

func (a *answers) add(part Key, software string, at time.Time) {
	if a.newer == nil || len(a.newer) >= maxAnswers {
		a.newer, a.older = make(map[answerKey]time.Time), a.newer
	}
	key := answerKey{part, software}
	if latest, ok := a.latest(part, software); !ok || at.After(latest) {
		a.newer[key] = at
	}
}

func (a *answers) latest(part Key, software string) (time.Time, bool) {
	key := answerKey{part, software}
	if at, ok := a.newer[key]; ok {
		return at, true
	}
	at, ok := a.older[key]
	return at, ok
}
