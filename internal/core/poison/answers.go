package poison

// maxAnswers bounds the parts in each of the two generations of answers, at about 100 bytes each.
const maxAnswers = 8192

// answers holds the latest answer to a request with each part, so that a part that was answered a moment ago is
// not taken for what ends servers. It keeps two generations: once the newer one is full, it replaces the older one.
type answers struct {
	newer, older map[Key]proof
}

func (a *answers) add(part Key, p proof) {
	if a.newer == nil || len(a.newer) >= maxAnswers {
		a.newer, a.older = make(map[Key]proof), a.newer
	}
	a.newer[part] = p
}

func (a *answers) latest(part Key) (proof, bool) {
	if p, ok := a.newer[part]; ok {
		return p, true
	}
	p, ok := a.older[part]
	return p, ok
}
