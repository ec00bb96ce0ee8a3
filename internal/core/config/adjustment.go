package config

import "fmt"

// Effect says what is in force in place of an element that cannot be used as it was written.
type Effect string

// The effects of an adjustment, from the least to the most that callers notice.
const (
	// Bounded means that a number was replaced by the nearest one that can be used.
	Bounded Effect = "bounded"
	// Defaulted means that the default is in force, as if the element were missing.
	Defaulted Effect = "defaulted"
	// Restricted means that the strictest reading of the element is in force.
	Restricted Effect = "restricted"
	// LeftOut means that the element is not in force.
	LeftOut Effect = "left-out"
	// Refusing means that requests which the element applies to are refused.
	Refusing Effect = "refusing"
)

// Effects lists all effects, for metrics.
var Effects = []Effect{Bounded, Defaulted, Restricted, LeftOut, Refusing}

// Adjustment is an element of an accepted configuration that is not in force as it was written.
type Adjustment struct {
	// Element is the path of the element, in the names of Text, such as routes[3].timeout.
	Element string `json:"element"`
	// Problem says why the element cannot be used. It never contains an API key.
	Problem string `json:"problem"`
	Effect  Effect `json:"effect"`
}

// String returns the adjustment as one line of text.
func (a Adjustment) String() string {
	return fmt.Sprintf("%s: %s (%s)", a.Element, a.Problem, a.Effect)
}

// MaxAdjustments limits the adjustments of one configuration that are kept. Further ones are only counted: a text has room for
// hundreds of thousands of elements.
const MaxAdjustments = 100

// Adjustments collects the adjustments of one configuration. The zero value is empty.
type Adjustments struct {
	// List holds the first MaxAdjustments, and Omitted is the number of the others.
	List    []Adjustment
	Omitted int
}

// Add adds an adjustment with a formatted problem.
func (a *Adjustments) Add(effect Effect, element, format string, args ...any) {
	if len(a.List) >= MaxAdjustments {
		a.Omitted++
		return
	}
	a.List = append(a.List, Adjustment{Element: element, Problem: fmt.Sprintf(format, args...), Effect: effect})
}

// Append adds those of other.
func (a *Adjustments) Append(other Adjustments) {
	for _, adjustment := range other.List {
		a.Add(adjustment.Effect, adjustment.Element, "%s", adjustment.Problem)
	}
	a.Omitted += other.Omitted
}

// Count returns the number of all adjustments.
func (a *Adjustments) Count() int { return len(a.List) + a.Omitted }

// maxQuoted is the length, in bytes, to which quoted names are cut in problems.
const maxQuoted = 80

// quoted returns a name for a problem, cut to maxQuoted bytes.
func quoted(name string) string {
	if len(name) <= maxQuoted {
		return fmt.Sprintf("%q", name)
	}
	return fmt.Sprintf("%q... (%d bytes)", name[:maxQuoted], len(name))
}
