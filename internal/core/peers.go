package core

func (n *Node) peerConnected(PeerConnected) {}

func (n *Node) peerLost(PeerLost) {}

func (n *Node) peerReceived(PeerReceived) {}
