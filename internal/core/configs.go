package core

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/pacing"
)

// ConfigKey is the store key of the operators' configuration text.
const ConfigKey = "ebonydyke/config"

// EvacuationPrefix is the prefix of the store keys of evacuated zones; the zone's name follows. It begins with ConfigKey, so that a
// watch of that covers it.
const EvacuationPrefix = ConfigKey + "-evacuations/"

// Delays for reading and writing the configuration key.
const (
	// configReadInterval is the mean interval at which instances that do not follow the store
	// read the key to verify what they received from peers. Each draws its interval at random
	// from half to one and a half of this value.
	configReadInterval = 10 * time.Minute
	// configRetryDelay is the mean delay after the first failed call.
	configRetryDelay = 250 * time.Millisecond
	// configMaxBackoff is the maximum backoff delay. Operators expect a text to be in force
	// within two seconds once the store has been stable for three, so the delay must be shorter
	// than that.
	configMaxBackoff = time.Second
	// writeBackDelay is the mean delay before a follower writes back a configuration that the
	// store has lost. It is randomized, so that most followers find that another one has
	// already done it.
	writeBackDelay = time.Second
)

// Counters of the configuration.
const (
	// counterConfigConflicts counts edits that differ from the one in force but have the same
	// generation.
	counterConfigConflicts = "config_conflicts"
	// counterConfigWriteBacks counts writes of the configuration in force to a store that had
	// lost it.
	counterConfigWriteBacks = "config_write_backs"
	// counterConfigAdjustments counts elements that are not in force as they were written, by effect.
	counterConfigAdjustments = "config_adjustments"
)

// configState tracks the configuration key of the platform's store.
type configState struct {
	// inForce is the envelope of the current snapshot.
	inForce config.Envelope
	// call is the read or watch in progress.
	call storeCall
	// version is the newest version that the store returned, and revision the store's revision from which the watch
	// continues; 0 requests a read.
	version, revision uint64
	// verifyAt is the time of the next read if this instance does not watch the key.
	verifyAt time.Time
	failures int
	// readWithoutConfig is set if the last read left this instance without a configuration.
	readWithoutConfig bool
	// nextCallAt is the earliest time for a further read or watch.
	nextCallAt time.Time
	// pacing limits the rate of watch results.
	pace pacing.Watch
	// storeBehind is set while the store holds an older configuration than the one in force.
	storeBehind bool
	// writeBackAt is the time when the write-back is due.
	writeBackAt time.Time
	// writeBackOp identifies the write in progress that restores the configuration in the store.
	writeBackOp OpID
	// rejected is the newest rejected envelope.
	rejected config.Envelope
	// findings are the reasons for its rejection.
	findings config.Findings
	// unreadableVersion is the version of the key at which its value was last unreadable.
	unreadableVersion uint64
	// adjusted are the elements of the configuration in force that are not in force as they were written.
	adjusted []config.Adjustment
}

// tickConfig keeps one call on the configuration key in progress.
func (n *Node) tickConfig() {
	c := &n.configs
	watches := n.follow.Follows()
	if c.storeBehind && c.writeBackOp == 0 && watches && !n.now.Before(c.writeBackAt) {
		n.writeBackConfig()
	}
	if c.verifyAt.IsZero() {
		c.verifyAt = n.now.Add(n.spreadDelay(configReadInterval))
	}
	if c.call.op != 0 || n.now.Before(c.nextCallAt) || n.backendsCallProbes() {
		return
	}
	patience := n.follow.Patience(c.failures)
	switch {
	case watches:
		hold := n.follow.HoldFor(n.follow.ConfigAsOf(), n.now)
		if n.evacuations.set.Doubted() {
			c.revision = 0
		}
		c.call = n.newStoreCall(hold)
		n.emit(StoreWatch{Op: c.call.op, Key: ConfigKey, Version: c.version, After: c.revision, Hold: hold, Timeout: hold + patience})
	case !n.now.Before(c.verifyAt):
		c.call = n.newStoreCall(0)
		n.emit(StoreGet{Op: c.call.op, Key: ConfigKey, Timeout: patience})
	}
}

func (n *Node) storeReplied(e StoreReplied) {
	switch {
	case n.claimStoreReplied(e):
	case e.Op == n.configs.call.op:
		n.handleConfigResult(e)
	case e.Op == n.configCopies.op:
		n.handleConfigCopyResult(e)
	case e.Op == n.configs.writeBackOp:
		n.handleWriteBackResult(e)
	case e.Op == n.streams.historyWrite.op:
		n.historyWritten(e)
	}
}

// handleConfigResult handles the result of a read or watch.
func (n *Node) handleConfigResult(e StoreReplied) {
	c := &n.configs
	call := c.call
	c.call = storeCall{}
	defer func() { c.readWithoutConfig = n.snapshot == nil }()
	changed := e.Status != StoreUnchanged || e.Evacuations.HasChanges()
	switch e.Status {
	case StoreOK, StoreAbsent, StoreUnchanged:
		c.failures, c.nextCallAt = 0, time.Time{}
		c.verifyAt = n.now.Add(n.spreadDelay(configReadInterval))
		n.follow.Answered(call.Call, changed, n.now)
		if n.mergeStoredEvacuations(e.Evacuations) {
			n.follow.ConfigShown(call.AsOf(n.now, changed))
		}
	default:
		n.mergeStoredEvacuations(e.Evacuations)
		c.failures++
		n.follow.Failed(n.now)
		c.nextCallAt = n.now.Add(n.storeRetryDelay(configRetryDelay, configMaxBackoff, c.failures))
		return
	}
	if changed && e.Status != StoreAbsent {
		pause := n.jitter(c.pace.PauseAfterChange(n.now))
		c.nextCallAt = later(c.nextCallAt, n.now.Add(n.follow.PauseFor(pause, n.follow.ConfigAsOf(), n.now)))
	}
	switch e.Status {
	case StoreOK:
		c.version = e.Version
		n.applyStoredConfig(e)
	case StoreAbsent:
		c.version = 0
		// A watch of an absent key may return at once.
		c.nextCallAt = later(c.nextCallAt, n.now.Add(n.spreadDelay(configRetryDelay)))
		n.compareStoredConfig(config.Envelope{})
	}
}

func (n *Node) applyStoredConfig(e StoreReplied) {
	offer, err := e.storedConfig()
	if err != nil {
		n.rejectUnreadable(e.Version, err)
		return
	}
	n.offerConfig(*offer, SourceStore)
	if n.configs.findings != nil && n.configs.rejected.Generation == offer.Envelope.Generation {
		n.configCopies.keeper.Refused(n.now.Add(n.spreadDelay(configCopyDelay)))
	} else {
		n.configCopies.keeper.Accepted()
	}
	n.compareStoredConfig(offer.Envelope)
}

// storedConfig returns the configuration in the value of a reply, or an error if it is unreadable.
func (e *StoreReplied) storedConfig() (*ConfigOffer, error) {
	switch {
	case e.Config != nil:
		return e.Config, nil
	case e.Problem != "":
		return nil, &unreadableError{e.Problem}
	}
	var env config.Envelope
	if err := json.Unmarshal(e.Value, &env); err != nil {
		return nil, err
	}
	return &ConfigOffer{Envelope: env}, nil
}

// offerConfig applies a configuration if it is newer than the one in force.
//
// The store may return an older value after an outage, and a peer may lag behind. A
// configuration with a lower generation is therefore ignored, so an accepted one never reverts.
// Two edits with the same generation occur only if the store went back to an older state and an
// operator who saw only the store then wrote to it. All instances converge on the edit with the
// greater ID, in whichever order they receive them.
func (n *Node) offerConfig(offer ConfigOffer, source ConfigSource) {
	env := offer.Envelope
	conflict := n.snapshot != nil && env.Generation == n.snapshot.Generation && env.Edit != n.snapshot.Edit
	if n.snapshot != nil && env.Generation <= n.snapshot.Generation {
		if env.Generation < n.snapshot.Generation || env.Edit == n.snapshot.Edit {
			return
		}
		n.emit(Counted{Counter: counterConfigConflicts, N: 1})
		if env.Edit < n.snapshot.Edit {
			return
		}
	}
	if env.Generation == n.configs.rejected.Generation && env.Edit == n.configs.rejected.Edit && n.configs.findings != nil {
		return
	}
	snapshot, adjusted, err := offer.check()
	if err != nil {
		var findings config.Findings
		errors.As(err, &findings)
		n.rejectConfig(env, findings, source)
		return
	}
	keysLifted := n.snapshot != nil && n.snapshot.RequiresAPIKeys() && !snapshot.RequiresAPIKeys()
	n.snapshot = snapshot
	n.configs.inForce, n.configs.findings, n.configs.adjusted = env, nil, adjusted.List
	n.configs.storeBehind = false
	n.rebuildPools()
	n.routesChanged()
	n.emit(ConfigApplied{
		Generation: env.Generation, Edit: env.Edit, Source: source, Limits: snapshot.Limits,
		Adjusted: adjusted.List, AdjustedCount: adjusted.Count(), KeysLifted: keysLifted,
	})
	n.countAdjustments(adjusted.List)
	if conflict && !n.settings.ConfigReadOnly {
		n.sendConfigToPeers()
	}
}

// sendConfigToPeers sends the configuration in force to all peers of the layout. It replaced
// another edit of the same generation, which digests do not tell apart.
func (n *Node) sendConfigToPeers() {
	for _, name := range n.peerNames() {
		if n.inLayout(name) {
			n.emit(SendPeer{To: name, Message: PeerMessage{ConfigOffer: &ConfigOffer{Envelope: n.configs.inForce}}})
		}
	}
}

// check builds the snapshot of the offered configuration. Only a text in the fleet's own format can be refused.
func (o *ConfigOffer) check() (*config.Snapshot, config.Adjustments, error) {
	if o.Text != nil {
		adjusted := o.Adjusted
		snapshot, more := config.Adopt(o.Envelope, *o.Text)
		adjusted.Append(more)
		return snapshot, adjusted, nil
	}
	snapshot, err := config.Check(ConfigKey, o.Envelope)
	return snapshot, config.Adjustments{}, err
}

// countAdjustments counts the elements of a configuration that are not in force as they were written.
func (n *Node) countAdjustments(adjusted []config.Adjustment) {
	for _, a := range adjusted {
		n.emit(Counted{Counter: counterConfigAdjustments, Label: string(a.Effect), N: 1})
	}
}

// rejectConfig keeps the configuration in force and records the findings for the status.
func (n *Node) rejectConfig(env config.Envelope, findings config.Findings, source ConfigSource) {
	n.configs.rejected, n.configs.findings = env, findings
	n.emit(ConfigRefused{Generation: env.Generation, Findings: findings, Source: source})
}

// rejectUnreadable keeps the configuration in force while the store holds a value that cannot be read, in which not even a generation
// is known. It is reported once for each version of the key.
func (n *Node) rejectUnreadable(version uint64, err error) {
	c := &n.configs
	if c.unreadableVersion == version {
		return
	}
	c.unreadableVersion = version
	n.rejectConfig(config.Envelope{}, config.Findings{{File: ConfigKey, Line: 1, Column: 1, Message: err.Error()}}, SourceStore)
	n.configCopies.keeper.Refused(n.now.Add(n.spreadDelay(configCopyDelay)))
}

// compareStoredConfig compares the configuration in the store with the one in force.
//
// A store that was restored from a backup, or lost an acknowledged write, holds an older one. A
// starting instance would apply that text, and the next edit would be based on it. The
// followers therefore write back the configuration in force.
func (n *Node) compareStoredConfig(env config.Envelope) {
	c := &n.configs
	if n.snapshot == nil || n.settings.ConfigReadOnly {
		return
	}
	older := env.Generation < n.snapshot.Generation ||
		env.Generation == n.snapshot.Generation && env.Edit < n.snapshot.Edit
	if older && !c.storeBehind {
		c.writeBackAt = n.now.Add(n.spreadDelay(writeBackDelay))
	}
	c.storeBehind = older
}

// writeBackConfig replaces the older envelope in the store by the one in force. The write is
// conditional on the version that was read, so it cannot overwrite an edit made meanwhile.
func (n *Node) writeBackConfig() {
	c := &n.configs
	value, err := json.Marshal(c.inForce)
	if err != nil {
		return
	}
	c.writeBackOp = n.nextOp()
	n.emit(Counted{Counter: counterConfigWriteBacks, N: 1})
	n.emit(StoreSwap{Op: c.writeBackOp, Key: ConfigKey, Version: c.version, Value: value})
}

// handleWriteBackResult handles the result of a write-back. Whatever the result, the watch
// continues from the last version seen and returns the current value.
func (n *Node) handleWriteBackResult(e StoreReplied) {
	c := &n.configs
	c.writeBackOp = 0
	c.writeBackAt = n.now.Add(n.spreadDelay(2 * writeBackDelay))
	if e.Status == StoreOK {
		c.storeBehind = false
	}
}

// sendConfig answers a peer that has an older configuration. This is how an instance that
// starts while the platform is unreachable gets the newest configuration known to its peers.
func (n *Node) sendConfig(from string, wanted *ConfigWanted) {
	if n.snapshot == nil || n.snapshot.Generation <= wanted.Above {
		return
	}
	n.emit(SendPeer{To: from, Message: PeerMessage{ConfigOffer: &ConfigOffer{Envelope: n.configs.inForce}}})
}
