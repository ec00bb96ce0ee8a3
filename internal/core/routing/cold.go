package routing

// PickWithCold returns the index of the chosen candidate as Pick does, while some candidates are cold: they get few requests a
// second, each of which must be permitted. mayAsk reports whether a permit for a cold candidate can be asked for.
//
// The requests that warm a server best are those that its ranking puts first: their cached prompts belong there. Its load is
// low because little is permitted, so load does not lead others to it. They go there only if no warm server has room.
func PickWithCold(candidates []Candidate, choice *Choice, mayAsk func(*Candidate) bool) int {
	home := choice.home(candidates)
	if home != None && candidates[home].Cold && choice.hasRoom(&candidates[home]) && mayAsk(&candidates[home]) {
		return home
	}
	warm := *choice
	warm.excluded = func(c *Candidate) bool { return c.Cold }
	best := Pick(candidates, &warm)
	if best != None && candidates[best].Usable() {
		return best
	}
	cold := *choice
	cold.excluded = func(c *Candidate) bool { return !c.Cold || !c.Usable() || !mayAsk(c) }
	if i := pick(candidates, &cold); i != None {
		return i
	}
	return best
}

// home returns the index of the candidate that a valid hint names, or that the ranking puts first regardless of load.
func (ch *Choice) home(candidates []Candidate) int {
	if ch.Hinted >= 0 && ch.hintUsable(&candidates[ch.Hinted]) {
		return ch.Hinted
	}
	ranking := *ch
	ranking.Limits, ranking.Draw, ranking.SpreadBelow = NoLimits(), 0, 0
	return pick(candidates, &ranking)
}
