package core

import "github.com/ebonydyke/ebonydyke/internal/core/config"

// dependenciesUsable reports whether every service on which the given one depends, directly
// or transitively, has a usable backend server.
func (n *Node) dependenciesUsable(service *config.Service) bool {
	for _, name := range n.snapshot.Dependencies(service.Name) {
		if len(n.pool(name).candidates) == 0 {
			return false
		}
	}
	return true
}
