package core

import (
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// Where an instance's part of a service's retries is less than one, few instances have a retry, and others see the failures. An
// instance that lacks a retry asks others for theirs. The invariant: a retry that is lent was spent by its lender, so all
// instances together never spend more than their parts.

// counterRetryLoans counts the questions for retries by what followed.
const (
	counterRetryLoans     = "retry_loans"
	labelRetryGranted     = "granted"
	labelRetryDenied      = "denied"
	labelRetryTimedOut    = "timed-out"
	labelRetryNoLink      = "no-link"
	labelRetryReturned    = "returned"
	labelRetryNobodyAsked = "none-to-ask"
	labelRetryLent        = "lent"
)

// RetryAction is what a RetryMessage does.
type RetryAction uint8

// The actions.
const (
	// AskRetry asks for a retry.
	AskRetry RetryAction = iota + 1
	// GrantRetry and DenyRetry answer.
	GrantRetry
	DenyRetry
	// ReturnRetry returns a retry that was granted and is not needed.
	ReturnRetry
)

// RetryMessage is about one retry of a service.
type RetryMessage struct {
	Action  RetryAction `json:"action"`
	Service string      `json:"service,omitempty"`
	// Token identifies the question among those of the instance that asks.
	Token uint64 `json:"token"`
	// Wait is the time after which an instance that denies may have a retry.
	Wait time.Duration `json:"wait,omitempty"`
}

// retryAsk is a request that waits for a retry of another instance.
type retryAsk = retry.Ask[borrowedRetry]

// borrowedRetry is what a retry is borrowed for.
type borrowedRetry struct {
	request *request
	// use sends the further attempt, and reports whether it was still needed. fail is called if there is no retry.
	use  func(*Node, *request) bool
	fail func(*Node, *request)
}

func (b borrowedRetry) ended() bool { return b.request.ended }

// borrowRetry asks other instances for a retry for a request. It calls use or fail, either immediately or on a later event,
// unless the request has ended by then.
func (n *Node) borrowRetry(r *request, use func(*Node, *request) bool, fail func(*Node, *request)) {
	r.retryAsk = n.retryLoans.Begin(borrowedRetry{request: r, use: use, fail: fail}, r.service.Name, n.now)
	n.askLender(r.retryAsk)
}

// askLender asks the next instance for a retry, or fails.
func (n *Node) askLender(ask *retryAsk) {
	r := ask.Request.request
	if r.ended || r.retryAsk != ask {
		return
	}
	step := n.retryLoans.Next(ask, n.retryLenders(r.service.Name), n.now)
	switch {
	case step.Lender != "":
		n.sendRetryMessage(step.Lender, RetryMessage{Action: AskRetry, Service: r.service.Name, Token: step.Token})
		n.schedule(n.now.Add(retry.AnswerTimeout), r, func(n *Node, _ *request) { n.retryAskTimedOut(step) })
	case len(step.Links) > 0:
		n.linkNow(step.Links)
		n.schedule(step.Until, r, func(n *Node, _ *request) { n.retryLinksTimedOut(ask) })
	default:
		if step.NoneToAsk {
			n.countRetryLoan(labelRetryNobodyAsked)
		}
		r.retryAsk = nil
		ask.Request.fail(n, r)
	}
}

// retryLenders returns what is known of the instances that may have retries of a service, nil if its retries are no part of a
// fleet's allowance.
func (n *Node) retryLenders(service string) *retry.Fleet {
	svc := n.snapshot.Service(service)
	if svc == nil || svc.RetryBurst == 0 {
		return nil
	}
	names := n.liveInstances()
	equal := n.pool(service).retryPart.Equal(max(burstMinInstances, len(names)))
	return &retry.Fleet{
		Service: service, Names: names, Self: n.settings.Name, EqualPart: burstFraction * svc.RetryBurst * equal,
		Linked: n.peerConnectedTo, Random: n.random.IntN,
	}
}

func (n *Node) sendRetryMessage(to string, m RetryMessage) {
	n.emit(SendPeer{To: to, Message: PeerMessage{Retry: &m}})
}

// peerRetry handles a message about a retry.
func (n *Node) peerRetry(from string, m *RetryMessage) {
	switch m.Action {
	case AskRetry:
		n.lendRetry(from, m)
	case GrantRetry:
		n.retryGranted(from, m)
	case DenyRetry:
		if ask := n.retryLoans.Denied(from, m.Token, m.Wait, n.now); ask != nil {
			n.countRetryLoan(labelRetryDenied)
			n.askLender(ask)
		}
	case ReturnRetry:
		if p := n.pools[m.Service]; p != nil && p.budget != nil {
			p.budget.Refund()
		}
	}
}

// lendRetry answers a question for a retry of this instance.
func (n *Node) lendRetry(to string, m *RetryMessage) {
	answer := RetryMessage{Action: DenyRetry, Service: m.Service, Token: m.Token, Wait: retry.Period}
	if p := n.pools[m.Service]; p != nil && p.budget != nil && n.snapshot.Service(m.Service) != nil {
		n.refreshBudget(p)
		if lent, wait := p.budget.Lend(); lent {
			answer.Action, answer.Wait = GrantRetry, 0
			n.countRetryLoan(labelRetryLent)
		} else {
			answer.Wait = wait
		}
	}
	n.sendRetryMessage(to, answer)
}

// retryGranted sends the attempt that waited for the retry. A retry that is not needed any more is returned.
func (n *Node) retryGranted(from string, m *RetryMessage) {
	if ask := n.retryLoans.Granted(from, m.Token); ask != nil {
		r := ask.Request.request
		if !r.ended && r.retryAsk == ask {
			r.retryAsk = nil
			if ask.Request.use(n, r) {
				n.countRetryLoan(labelRetryGranted)
				return
			}
		}
	}
	n.countRetryLoan(labelRetryReturned)
	n.sendRetryMessage(from, RetryMessage{Action: ReturnRetry, Service: m.Service, Token: m.Token})
}

func (n *Node) retryAskTimedOut(step retry.Step) {
	if ask := n.retryLoans.TimedOut(step.Lender, step.Token, n.now); ask != nil {
		n.countRetryLoan(labelRetryTimedOut)
		n.askLender(ask)
	}
}

// retryLinkUp asks the instance whose link is up for the requests that wait for it.
func (n *Node) retryLinkUp(name string) {
	for _, ask := range n.retryLoans.LinkUp(name) {
		n.askLender(ask)
	}
}

func (n *Node) retryLinksTimedOut(ask *retryAsk) {
	if n.retryLoans.LinksTimedOut(ask, n.now) {
		n.countRetryLoan(labelRetryNoLink)
		n.askLender(ask)
	}
}

func (n *Node) countRetryLoan(label string) {
	n.emit(Counted{Counter: counterRetryLoans, Label: label, N: 1})
}
