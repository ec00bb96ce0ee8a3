// Package reason holds the fixed words by which the fleet explains itself.
//
// One typed list serves the callers' headers, the log lines, the metric labels
// and the operators' documentation, so that a word seen in one of them can be
// looked up in the others.
package reason

// Outcome is what a caller may conclude about a request from its final answer.
type Outcome string

// The outcomes a caller can see in the Ebonydyke-Outcome header.
const (
	// Answered says that the backend server's whole answer was delivered.
	Answered Outcome = "answered"
	// NotRun says that no backend server started the request.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run and that its result is lost.
	Unknown Outcome = "unknown"
	// Duplicate says that another request with the same idempotency key came first.
	Duplicate Outcome = "duplicate"
)

// Reason says why a request was refused, failed or tried again.
type Reason string

// Reasons for refusing or failing a request, and for sending one again.
const (
	// None is the reason of a request that went well.
	None Reason = ""
	// BadRequest is a request that cannot be understood.
	BadRequest Reason = "bad-request"
	// TooLarge is a request over the size or header limits.
	TooLarge Reason = "too-large"
	// HeaderTooLarge is a request whose headers are over the configuration's limit.
	HeaderTooLarge Reason = "header-too-large"
	// UnknownService names a model or service that the configuration lacks.
	UnknownService Reason = "unknown-service"
	// UnknownRoute means that no route leads from the host and path to a service.
	UnknownRoute Reason = "unknown-route"
	// UnknownCustomer names a customer that the configuration lacks.
	UnknownCustomer Reason = "unknown-customer"
	// UnknownKey means that the API key is missing or not in the configuration.
	UnknownKey Reason = "unknown-key"
	// NoConfiguration means that no configuration is in force yet.
	NoConfiguration Reason = "no-configuration"
	// NoBackend means that the service has no usable backend server.
	NoBackend Reason = "no-backend"
	// Saturated means that every backend server is at its capacity.
	Saturated Reason = "saturated"
	// CustomerShare means that the customer is over its share of a saturated service.
	CustomerShare Reason = "customer-share"
	// CustomerLimit means that the customer is over its configured limit.
	CustomerLimit Reason = "customer-limit"
	// DependencyUnavailable means that a needed dependency has no usable backend server.
	DependencyUnavailable Reason = "dependency-unavailable"
	// DeadlineExceeded means that the request's deadline passed.
	DeadlineExceeded Reason = "deadline-exceeded"
	// RetryBudget means that the retry budget of the service is spent.
	RetryBudget Reason = "retry-budget"
	// AttemptsExhausted means that the request used all attempts it may have.
	AttemptsExhausted Reason = "attempts-exhausted"
	// BackendUnreachable means that no byte could be sent to a backend server.
	BackendUnreachable Reason = "backend-unreachable"
	// BackendRefused means that the backend server said it did not start the request.
	BackendRefused Reason = "backend-refused"
	// BackendLost means that the backend server failed after bytes may have reached it.
	BackendLost Reason = "backend-lost"
	// BackendFailed means that the backend server answered with a failure of its own.
	BackendFailed Reason = "backend-failed"
	// BackendSpoiled means that an answer was not the backend server's own whole one.
	BackendSpoiled Reason = "backend-spoiled"
	// BrokenStream means that an answer was cut after it had begun.
	BrokenStream Reason = "broken-stream"
	// CallerGone means that the caller left before its answer was complete.
	CallerGone Reason = "caller-gone"
	// ClaimDuplicate means that the idempotency key is already claimed.
	ClaimDuplicate Reason = "claim-duplicate"
	// ClaimUnavailable means that the claim could not be recorded with certainty.
	ClaimUnavailable Reason = "claim-unavailable"
	// ClaimsFull means that the ledger has no room until older claims expire.
	ClaimsFull Reason = "claims-full"
	// Stopping means that this instance has closed its doors.
	Stopping Reason = "stopping"
	// Overloaded means that a bounded queue of this instance is full.
	Overloaded Reason = "overloaded"
)

// All lists every reason, for metrics and documentation.
var All = []Reason{
	BadRequest, TooLarge, HeaderTooLarge, UnknownService, UnknownRoute, UnknownCustomer, UnknownKey, NoConfiguration,
	NoBackend, Saturated, CustomerShare, CustomerLimit, DependencyUnavailable,
	DeadlineExceeded, RetryBudget, AttemptsExhausted, BackendUnreachable,
	BackendRefused, BackendLost, BackendFailed, BackendSpoiled, BrokenStream, CallerGone, ClaimDuplicate,
	ClaimUnavailable, ClaimsFull, Stopping, Overloaded,
}
