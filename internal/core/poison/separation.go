package poison

import "time"

// Link is the state of the link to a peer, as far as it matters for Separation.
type Link struct {
	// Silence is the time since anything was received from the peer.
	Silence time.Duration
	// HearsNotAll is set while the peer does not hear all of its own peers.
	HearsNotAll bool
}

// Separation holds whether an instance and its peers hear each other. A peer that is silent may still hear the instance, and one
// that the instance hears may not. It is not safe for concurrent use.
type Separation struct {
	maxSilence          time.Duration
	hearsAll, separated bool
}

// NewSeparation returns the state of an instance that hears all peers. A peer counts as silent after more than maxSilence.
func NewSeparation(maxSilence time.Duration) *Separation {
	return &Separation{maxSilence: maxSilence, hearsAll: true}
}

// HearsAll reports whether no peer is silent.
func (s *Separation) HearsAll() bool { return s.hearsAll }

// Separated reports whether the instance and one of its peers may not hear each other.
func (s *Separation) Separated() bool { return s.separated }

// Update computes HearsAll and Separated from the links to the peers that are not leaving, and reports which of the two has changed.
// Peers that are leaving do not matter, because they get no more requests.
func (s *Separation) Update(links []Link) (hearsAllChanged, separatedChanged bool) {
	hearsAll, separated := true, false
	for _, link := range links {
		silent := link.Silence > s.maxSilence
		hearsAll = hearsAll && !silent
		separated = separated || silent || link.HearsNotAll
	}
	hearsAllChanged, separatedChanged = hearsAll != s.hearsAll, separated != s.separated
	s.hearsAll, s.separated = hearsAll, separated
	return hearsAllChanged, separatedChanged
}
