package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/core/reason"
	"github.com/ebonydyke/ebonydyke/internal/core/retry"
)

// A customer at its own limit is refused at once, with a time to retry, while other customers
// are admitted. The end of one request makes room for one more.
func TestCustomerLimit(t *testing.T) {
	node := newPlacementNode(t, 3, 64, config.Customer{Name: "limited", MaxInFlight: 2}, config.Customer{Name: "other"})
	ask := func(id core.RequestID, customer string) *core.Finish {
		_, refused := sendRequest(t, node, start, core.RequestArrived{Request: id, Customer: customer, Chat: string(id)})
		return refused
	}
	require.Nil(t, ask("a", "limited"))
	require.Nil(t, ask("b", "limited"))
	refused := ask("c", "limited")
	require.Equal(t, reason.CustomerLimit, refused.Reason)
	require.Equal(t, reason.NotRun, refused.Outcome)
	require.GreaterOrEqual(t, refused.RetryAfter, time.Second)
	require.Nil(t, ask("d", "other"))
	node.Handle(start, core.AttemptEnded{Request: "a", Attempt: 1, Outcome: retry.Answered})
	require.Nil(t, ask("e", "limited"))
}

// Guards against refusals for customers that did not cause a surge. One customer surges and
// fills the pool. Its excess is refused with the reason customer-share, and each of the other
// customers is still admitted.
func TestSurgingCustomerIsRefusedAndOthersAdmitted(t *testing.T) {
	customers := []config.Customer{{Name: "surging"}}
	for i := range 9 {
		customers = append(customers, config.Customer{Name: fmt.Sprint("partner-", i)})
	}
	node := newPlacementNode(t, 12, 10, customers...)
	now, refusals := start, 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		node.Handle(now, core.Ticked{})
		id := core.RequestID(fmt.Sprint("surge-", i))
		if _, refused := sendRequest(t, node, now, core.RequestArrived{Request: id, Customer: "surging", Chat: string(id)}); refused != nil {
			require.Equal(t, reason.CustomerShare, refused.Reason)
			refusals++
		}
		if i%50 == 49 {
			id := core.RequestID(fmt.Sprint("partner-", i))
			attempt, _ := sendRequest(t, node, now, core.RequestArrived{Request: id, Customer: fmt.Sprint("partner-", i/50), Chat: string(id)})
			require.NotNil(t, attempt, i)
		}
	}
	require.InDelta(t, 400-0.9*120, refusals, 12)
}
