package streams

// Continuation is a request that continues a stream, with what the instance knows of the stream.
type Continuation struct {
	// Record is the record of the stream, nil if the instance has none.
	Record *Record
	// Leads reports whether the request's route leads to a service.
	Leads func(service string) bool
	// Only is the software at which each stream of the route must have begun, nil if there may be several or others may know
	// more.
	Only *Software
	// Asked is set once other instances were asked.
	Asked bool
}

// Basis is what the software rests on at which a stream goes on.
type Basis string

// The bases.
const (
	// BasisRecord is a record of the stream.
	BasisRecord Basis = "record"
	// BasisOnlyVersion is that only one version has served lately, as far as is known.
	BasisOnlyVersion Basis = "only-version"
)

// Decision is how a request that continues a stream is handled.
type Decision uint8

// The decisions.
const (
	// GoOn means that the stream goes on at the software that began it.
	GoOn Decision = iota + 1
	// AskOthers means that other instances may know where it began.
	AskOthers
	// Unknown means that the software is not known for certain.
	Unknown
	// Moved means that the route does not lead to the service any more at which the stream began.
	Moved
)

// Basis returns what the software of a GoOn decision rests on.
func (c *Continuation) Basis() Basis {
	if c.Record != nil {
		return BasisRecord
	}
	return BasisOnlyVersion
}

// Decide returns the decision, and for GoOn the software at which the stream goes on.
func (c *Continuation) Decide() (Decision, *Software) {
	switch {
	case c.Record != nil && c.Record.Uncertain:
		return Unknown, nil
	case c.Record != nil && !c.Leads(c.Record.Service):
		return Moved, nil
	case c.Record != nil:
		return GoOn, &c.Record.Software
	case c.Only != nil:
		return GoOn, c.Only
	case c.Asked:
		return Unknown, nil
	default:
		return AskOthers, nil
	}
}
