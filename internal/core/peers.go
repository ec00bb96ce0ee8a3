package core

func (n *Node) peerConnected(PeerConnected) {}

func (n *Node) peerLost(PeerLost) {}

// peerReceived hands a peer's message to the part that it is for.
func (n *Node) peerReceived(e PeerReceived) {
	m := e.Message
	switch {
	case m.Digest != nil:
		n.peerDigest(e.From, m.Digest)
	case m.ConfigOffer != nil:
		n.offerConfig(m.ConfigOffer.Envelope)
	case m.ConfigWanted != nil:
		n.peerWantsConfig(e.From, m.ConfigWanted)
	case m.Claim != nil:
		n.peerClaim(e.From, *m.Claim)
	case m.ClaimReply != nil:
		n.peerClaimReply(e.From, *m.ClaimReply)
	}
}

// peerDigest takes what a peer says of loads, members and its configuration.
func (n *Node) peerDigest(from string, d *Digest) {
	n.learnMembers(d.Members)
	for _, f := range d.Facts {
		n.learn(f)
	}
	n.peerLoads(from, d)
}

// tickPeers sends the digests and polls that are due.
func (n *Node) tickPeers() {}
