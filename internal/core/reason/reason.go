// Package reason defines the outcomes and reasons that the fleet reports for requests.
//
// Callers' headers, log lines, metric labels and the operators' documentation all use this
// one typed list, so that a word seen in one of them can be looked up in the others.
package reason

// Outcome tells a caller, in the final answer, whether its request ran.
type Outcome string

// Values of the Ebonydyke-Outcome header.
const (
	// Answered means that the backend server's complete answer was delivered.
	Answered Outcome = "answered"
	// NotRun means that no backend server started the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run and that its result is lost.
	Unknown Outcome = "unknown"
	// Duplicate means that another request with the same idempotency key came first.
	Duplicate Outcome = "duplicate"
)

// Reason explains why a request was refused, failed or retried.
type Reason string

// Reasons for refusing, failing or retrying a request.
const (
	// None is the reason of a successful request.
	None Reason = ""
	// BadRequest means that the request is malformed.
	BadRequest Reason = "bad-request"
	// TooLarge means that the request exceeds the size or header limits.
	TooLarge Reason = "too-large"
	// HeaderTooLarge means that the request's headers exceed the limit in the
	// configuration.
	HeaderTooLarge Reason = "header-too-large"
	// UnknownService means that the model or service is not in the configuration.
	UnknownService Reason = "unknown-service"
	// UnknownRoute means that no route matches the host and path.
	UnknownRoute Reason = "unknown-route"
	// RouteUnusable means that the configuration leads the route to no service.
	RouteUnusable Reason = "route-unusable"
	// UnknownCustomer means that the customer is not in the configuration.
	UnknownCustomer Reason = "unknown-customer"
	// UnknownKey means that the API key is missing or not in the configuration.
	UnknownKey Reason = "unknown-key"
	// NoConfiguration means that no configuration is in effect yet.
	NoConfiguration Reason = "no-configuration"
	// NoBackend means that the service has no usable backend server.
	NoBackend Reason = "no-backend"
	// NoRegion means that the service has no backend server in the regions in which the request may be processed.
	NoRegion Reason = "no-region"
	// ZoneEvacuated means that the service's servers outside evacuated zones cannot take the request, or, of a retry, that
	// its server's zone was evacuated before anything was sent.
	ZoneEvacuated Reason = "zone-evacuated"
	// Saturated means that every backend server is at its capacity.
	Saturated Reason = "saturated"
	// WaitTooLong means that the response would most likely not begin before the caller's deadline.
	WaitTooLong Reason = "wait-too-long"
	// CustomerShare means that the customer exceeds its share of a saturated service.
	CustomerShare Reason = "customer-share"
	// CustomerLimit means that the customer exceeds its configured limit.
	CustomerLimit Reason = "customer-limit"
	// DependencyUnavailable means that a required dependency has no usable backend server.
	DependencyUnavailable Reason = "dependency-unavailable"
	// DeadlineExceeded means that the request's deadline passed.
	DeadlineExceeded Reason = "deadline-exceeded"
	// RetryBudget means that the retry budget of the service is exhausted.
	RetryBudget Reason = "retry-budget"
	// AttemptsExhausted means that the request has used all its permitted attempts.
	AttemptsExhausted Reason = "attempts-exhausted"
	// BackendUnreachable means that no byte could be sent to a backend server.
	BackendUnreachable Reason = "backend-unreachable"
	// BackendRefused means that the backend server reported that it did not start the
	// request.
	BackendRefused Reason = "backend-refused"
	// BackendLost means that the backend server failed after bytes may have reached it.
	BackendLost Reason = "backend-lost"
	// BackendFailed means that the backend server answered and reported a failure of its
	// own.
	BackendFailed Reason = "backend-failed"
	// BackendSpoiled means that an answer was incomplete or not the backend server's own.
	BackendSpoiled Reason = "backend-spoiled"
	// BackendSilent means that the backend server sent nothing for longer than expected.
	BackendSilent Reason = "backend-silent"
	// BrokenStream means that an answer was cut off after it had begun.
	BrokenStream Reason = "broken-stream"
	// CallerGone means that the caller disconnected before its answer was complete.
	CallerGone Reason = "caller-gone"
	// ClaimDuplicate means that the idempotency key is already claimed.
	ClaimDuplicate Reason = "claim-duplicate"
	// ClaimUnavailable means that the claim could not be recorded with certainty.
	ClaimUnavailable Reason = "claim-unavailable"
	// ClaimsFull means that the ledger accepts no claims until older ones expire.
	ClaimsFull Reason = "claims-full"
	// PoisonRequest means that several backend servers ended under requests of this customer with
	// the same content.
	PoisonRequest Reason = "poison-request"
	// StreamUnknown means that the caller continues a stream of which it is not known, or not certain,
	// at which software version it began.
	StreamUnknown Reason = "stream-unknown"
	// StreamVersionGone means that no usable backend server has the software version that began the
	// stream.
	StreamVersionGone Reason = "stream-version-gone"
	// StreamMoved means that the route no longer leads to the service that began the stream.
	StreamMoved Reason = "stream-moved"
	// Stopping means that this instance is shutting down and accepts no more requests.
	Stopping Reason = "stopping"
	// Overloaded means that a bounded queue of this instance is full.
	Overloaded Reason = "overloaded"
)

// All lists every reason, for metrics and documentation.
var All = []Reason{
	BadRequest, TooLarge, HeaderTooLarge, UnknownService, UnknownRoute, RouteUnusable, UnknownCustomer, UnknownKey,
	NoConfiguration,
	NoBackend, NoRegion, ZoneEvacuated, Saturated, WaitTooLong, CustomerShare, CustomerLimit, DependencyUnavailable,
	DeadlineExceeded, RetryBudget, AttemptsExhausted, BackendUnreachable,
	BackendRefused, BackendLost, BackendFailed, BackendSpoiled, BackendSilent, BrokenStream, CallerGone, ClaimDuplicate,
	ClaimUnavailable, ClaimsFull, PoisonRequest, StreamUnknown, StreamVersionGone, StreamMoved, Stopping, Overloaded,
}
