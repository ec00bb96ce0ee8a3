package core

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
)

// ConfigKey is the store's key of the operators' text.
const ConfigKey = "ebonydyke/config"

// watchRetryDelay is how long a failed watch waits before it is tried again.
const watchRetryDelay = time.Second

// configState follows the configuration key of the platform's store.
type configState struct {
	watch    OpID
	version  uint64
	notUntil time.Time
	findings config.Findings
}

// tickConfig keeps one watch on the configuration key.
func (n *Node) tickConfig() {
	if n.configs.watch != 0 || n.now.Before(n.configs.notUntil) {
		return
	}
	n.configs.watch = n.nextOp()
	n.emit(StoreWatch{Op: n.configs.watch, Key: ConfigKey, Version: n.configs.version})
}

func (n *Node) storeReplied(e StoreReplied) {
	if n.claimStoreReplied(e) {
		return
	}
	if e.Op == n.configs.watch {
		n.configWatched(e)
	}
}

func (n *Node) configWatched(e StoreReplied) {
	n.configs.watch = 0
	switch e.Status {
	case StoreOK:
		n.configs.version = e.Version
		n.readConfig(e.Value)
	case StoreUnchanged:
	default:
		n.configs.notUntil = n.now.Add(watchRetryDelay)
	}
}

func (n *Node) readConfig(value []byte) {
	var env config.Envelope
	if err := json.Unmarshal(value, &env); err != nil {
		n.emit(ConfigRefused{Findings: config.Findings{{File: ConfigKey, Line: 1, Column: 1, What: err.Error()}}})
		return
	}
	n.offerConfig(env)
}

// offerConfig takes a configuration if it is newer than the one in force.
//
// The store may come back with an older value and a peer may lag: a generation
// that is not higher is ignored, so an accepted configuration never reverts.
func (n *Node) offerConfig(env config.Envelope) {
	if n.snapshot != nil && env.Generation <= n.snapshot.Generation {
		return
	}
	snapshot, err := config.Check(ConfigKey, env)
	if err != nil {
		var findings config.Findings
		errors.As(err, &findings)
		n.configs.findings = findings
		n.emit(ConfigRefused{Generation: env.Generation, Findings: findings})
		return
	}
	n.snapshot = snapshot
	n.configs.findings = nil
	n.rebuildPools()
	n.emit(ConfigTaken{Generation: env.Generation, Edit: env.Edit})
}

// peerWantsConfig answers a peer whose configuration is older than ours.
func (n *Node) peerWantsConfig(string, *ConfigWanted) {}
