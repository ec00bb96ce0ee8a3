package overloadstats

import (
	"cmp"
	"slices"
)

// The MaxCustomers rows are given by activity: the number of recent requests, in which refusals have a higher weight.
const (
	// refusalWeight is the weight of a refused request in the activity; that of an admitted one is 1. Operators look for customers
	// that are refused.
	refusalWeight = 10
	// displaceFactor is the minimum ratio of a customer's activity to that of the customer whose row it takes. With a smaller ratio,
	// customers that are about equally active would take rows from each other, and their counters would restart each time.
	displaceFactor = 2
	// forgetBelow is the activity below which a customer without a row is forgotten.
	forgetBelow = 0.5
)

// customers counts the requests of each customer. If a row is given to another customer, the counts of its previous holder are lost, and
// its counter restarts if it gets a row again. The row of the others never decreases.
type customers struct {
	all      map[string]*customer
	labelled int
	others   Counts
}

type customer struct {
	name   string
	counts Counts
	// target is where the requests are counted: at counts if the customer has a row, or else at the others'.
	target *Counts
	// recent is the activity, halved at each keepInterval.
	recent float64
}

func newCustomers() customers { return customers{all: make(map[string]*customer)} }

// of returns the counter of a customer.
func (c *customers) of(name string) *customer {
	v := c.all[name]
	if v == nil {
		v = &customer{name: name, target: &c.others}
		if c.labelled < MaxCustomers {
			c.labelled++
			v.target = &v.counts
		}
		c.all[name] = v
	}
	return v
}

func (v *customer) admit() {
	v.target.Admitted++
	v.recent++
}

func (v *customer) refuse() {
	v.target.Refused++
	v.recent += refusalWeight
}

func (v *customer) hasRow() bool { return v.target == &v.counts }

// each calls f for each customer with a row, and for the others if there are any.
func (c *customers) each(f func(string, Counts)) {
	for name, v := range c.all {
		if v.hasRow() {
			f(name, v.counts)
		}
	}
	if c.others != (Counts{}) {
		f(Others, c.others)
	}
}

// keep gives the rows of idle customers to more active ones, and forgets customers that are idle and have no row.
func (c *customers) keep() {
	var holders, waiting []*customer
	for name, v := range c.all {
		v.recent /= 2
		switch {
		case v.hasRow():
			holders = append(holders, v)
		case v.recent < forgetBelow:
			delete(c.all, name)
		default:
			waiting = append(waiting, v)
		}
	}
	slices.SortFunc(holders, func(a, b *customer) int { return cmp.Or(cmp.Compare(a.recent, b.recent), cmp.Compare(a.name, b.name)) })
	slices.SortFunc(waiting, func(a, b *customer) int { return cmp.Or(cmp.Compare(b.recent, a.recent), cmp.Compare(a.name, b.name)) })
	for i, v := range waiting {
		if i >= len(holders) || v.recent <= displaceFactor*holders[i].recent {
			return
		}
		holders[i].counts, holders[i].target = Counts{}, &c.others
		v.target = &v.counts
	}
}
