package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/reason"
)

// refusal says why a request is refused and when its caller may come back.
type refusal struct {
	status     int
	why        reason.Reason
	retryAfter time.Duration
}

// admit decides whether a request may be placed at all: customers' limits, and
// their shares once the service is saturated. It returns nil to let it in.
func (n *Node) admit(*request) *refusal { return nil }

// admissionEnded is told once about each admitted request, when it ends.
func (n *Node) admissionEnded(*request) {}
