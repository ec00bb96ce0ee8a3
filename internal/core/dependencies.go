package core

import "github.com/ebonydyke/ebonydyke/internal/core/config"

// dependenciesUsable tells whether every service that service needs, directly or
// through another, has a usable backend server.
func (n *Node) dependenciesUsable(service *config.Service) bool {
	for _, name := range service.DependsOn {
		dependency := n.snapshot.Service(name)
		if dependency == nil || len(n.pool(name).candidates) == 0 {
			return false
		}
		if !n.dependenciesUsable(dependency) {
			return false
		}
	}
	return true
}
