package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/configcopy"
)

// ConfigCopyKey is the store key of the copy of the accepted configuration. A watch of the operators' keys does not cover it.
const ConfigCopyKey = "ebonydyke/accepted-config"

// configCopyDelay is the mean delay before the copy is read or written. It is randomized, so that most followers find that another
// one has already written it.
const configCopyDelay = 250 * time.Millisecond

// counterConfigCopies counts writes of the copy.
const counterConfigCopies = "config_copies"

// configCopies joins package configcopy to the node.
type configCopies struct {
	keeper configcopy.Keeper
	// op is the call in progress, 0 if there is none, and writing the generation that it writes, 0 if it reads.
	op      OpID
	writing uint64
}

// tickConfigCopy starts the call on the copy that is due.
func (n *Node) tickConfigCopy() {
	c := &n.configCopies
	if c.op != 0 {
		return
	}
	switch c.keeper.Next(n.now, n.generation(), n.snapshot != nil, n.follow.Follows()) {
	case configcopy.None:
	case configcopy.Read:
		c.op, c.writing = n.nextOp(), 0
		n.emit(StoreGet{Op: c.op, Key: ConfigCopyKey})
	case configcopy.Write:
		n.writeConfigCopy()
	}
}

func (n *Node) writeConfigCopy() {
	c := &n.configCopies
	value, err := configcopy.Encode(n.configs.inForce)
	if err != nil {
		c.keeper.Failed(n.now.Add(configReadInterval))
		return
	}
	c.op, c.writing = n.nextOp(), n.configs.inForce.Generation
	n.emit(Counted{Counter: counterConfigCopies, N: 1})
	n.emit(StoreSwap{Op: c.op, Key: ConfigCopyKey, Version: c.keeper.Version(), Value: value})
}

// handleConfigCopyResult handles the result of a read or write of the copy.
func (n *Node) handleConfigCopyResult(e StoreReplied) {
	c := &n.configCopies
	written := c.writing
	c.op, c.writing = 0, 0
	switch {
	case written != 0 && e.Status == StoreOK:
		c.keeper.Written(e.Version, written)
	case written == 0 && e.Status == StoreOK:
		n.configCopyRead(e)
	case written == 0 && e.Status == StoreAbsent:
		c.keeper.Found(0, 0, n.now.Add(n.spreadDelay(configMaxBackoff)))
	default:
		c.keeper.Failed(n.now.Add(n.backoffDelay(configRetryDelay, configMaxBackoff, c.keeper.Failures()+1)))
	}
}

// configCopyRead takes the copy if this instance has no configuration. A copy that cannot be read is written over.
func (n *Node) configCopyRead(e StoreReplied) {
	offer, err := e.configCopy()
	if err != nil {
		n.configCopies.keeper.Found(e.Version, 0, n.now.Add(n.spreadDelay(configMaxBackoff)))
		n.emit(ConfigRefused{Findings: config.Findings{{File: ConfigCopyKey, Line: 1, Column: 1, Message: err.Error()}}, Source: SourceCopy})
		return
	}
	n.configCopies.keeper.Found(e.Version, offer.Envelope.Generation, n.now)
	if n.snapshot == nil {
		n.offerConfig(*offer, SourceCopy)
	}
}

// configCopy returns the configuration in the value of the copy.
func (e *StoreReplied) configCopy() (*ConfigOffer, error) {
	if e.Config != nil {
		return e.Config, nil
	}
	if e.Problem != "" {
		return nil, &unreadableError{e.Problem}
	}
	env, err := configcopy.Decode(e.Value)
	if err != nil {
		return nil, err
	}
	return &ConfigOffer{Envelope: env}, nil
}

// unreadableError is the problem of a value that was read outside the core.
type unreadableError struct{ problem string }

func (e *unreadableError) Error() string { return e.problem }
