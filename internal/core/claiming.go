package core

import "github.com/ebonydyke/ebonydyke/internal/core/claims"

// claim records the request's idempotency key before any byte of it is sent. It
// calls claimGranted or claimRefused, now or on a later event.
func (n *Node) claim(r *request) { n.claimGranted(r) }

// endClaim records what became of a claimed request: claims.Done once answered,
// claims.Released once it surely did not run. An unknown end is left as claimed.
func (n *Node) endClaim(*request, claims.State) {}

// claimStoreReplied takes the store's answer to a call of the ledger and tells
// whether the call was one.
func (n *Node) claimStoreReplied(StoreReplied) bool { return false }

// peerClaim answers a peer that asks this instance for a change of a claim.
func (n *Node) peerClaim(string, claims.Request) {}

// peerClaimReply takes the answer of the peer that owns the range.
func (n *Node) peerClaimReply(string, claims.Reply) {}

// tickClaims does what the ledger has due by time.
func (n *Node) tickClaims() {}
