package streams

// Directory computes which instances keep records, and knows the peers that keep none: those of an earlier build. It is not safe
// for concurrent use.
type Directory struct {
	self Member
	// keepers is computed from names, the live instances.
	keepers *Keepers
	names   []string
	// without are the peers that keep no records.
	without map[string]bool
}

// NewDirectory returns the state of an instance for which all peers keep records.
func NewDirectory(self Member) *Directory {
	return &Directory{self: self, without: make(map[string]bool)}
}

// Keepers returns the instances that keep records among the live ones, which include this one. The result is cached by the identity
// of the slice: a changed list must be a new slice.
func (d *Directory) Keepers(names []string, zoneOf func(name string) string, fullMesh bool) *Keepers {
	if d.keepers != nil && len(names) == len(d.names) && &names[0] == &d.names[0] {
		return d.keepers
	}
	var members []Member
	for _, name := range names {
		switch {
		case d.without[name]:
		case name == d.self.Name:
			members = append(members, d.self)
		default:
			members = append(members, Member{Name: name, Zone: zoneOf(name)})
		}
	}
	d.keepers, d.names = NewKeepers(d.self, members, fullMesh), names
	return d.keepers
}

// Keeps reports whether a peer keeps records, as far as is known.
func (d *Directory) Keeps(peer string) bool { return !d.without[peer] }

// SetKeeps records whether a peer keeps records.
func (d *Directory) SetKeeps(peer string, keeps bool) {
	if keeps == d.Keeps(peer) {
		return
	}
	d.keepers = nil
	if keeps {
		delete(d.without, peer)
	} else {
		d.without[peer] = true
	}
}
