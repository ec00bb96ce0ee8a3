package config

import "slices"

// MaxUrgencyLevel is the level of the least urgent requests. It is the highest priority that engines take.
const MaxUrgencyLevel = 9

// urgency orders requests: first by the customer's priority, or the route's if the customer has none, then by the route's. If a
// customer's priority replaced the route's, all requests of customers with the same priority would be equally urgent.
type urgency struct{ first, route int }

func urgencyOf(route *Route, customer *Customer) urgency {
	if customer.Priority != nil {
		return urgency{first: *customer.Priority, route: route.Priority}
	}
	return urgency{first: route.Priority, route: route.Priority}
}

// urgencyScale assigns the levels from 0, the most urgent, to the combinations of priorities in a text. If there are more
// combinations than levels, neighbours share one. The combinations are counted and not listed: a text may have thousands of
// priorities of routes and as many of customers.
type urgencyScale struct {
	// routes are the priorities of the routes, and firsts those of the routes and of the customers; both are sorted.
	routes, firsts []int
	// before holds, for each of firsts, the number of combinations that are more urgent than all that begin with it, and at its
	// end the number of all combinations.
	before []int
	// own are the priorities of customers. Each of them is combined with all routes, and any other first only with itself.
	own map[int]bool
}

func newUrgencyScale(routes []Route, customers []Customer) urgencyScale {
	s := urgencyScale{own: make(map[int]bool)}
	for i := range routes {
		s.routes = append(s.routes, routes[i].Priority)
	}
	s.routes = sortedDistinct(s.routes)
	s.firsts = slices.Clone(s.routes)
	for i := range customers {
		if priority := customers[i].Priority; priority != nil && !s.own[*priority] {
			s.own[*priority] = true
			s.firsts = append(s.firsts, *priority)
		}
	}
	s.firsts = sortedDistinct(s.firsts)
	count := 0
	for _, first := range s.firsts {
		s.before = append(s.before, count)
		if s.own[first] {
			count += len(s.routes)
		} else {
			count++
		}
	}
	s.before = append(s.before, count)
	return s
}

func sortedDistinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// level returns the level of a combination, 0 for one that the text does not have.
func (s *urgencyScale) level(u urgency) int {
	first, found := slices.BinarySearch(s.firsts, u.first)
	if !found {
		return 0
	}
	position := s.before[first]
	if s.own[u.first] {
		route, _ := slices.BinarySearch(s.routes, u.route)
		position += route
	}
	if count := s.before[len(s.before)-1]; count > MaxUrgencyLevel+1 {
		return position * MaxUrgencyLevel / (count - 1)
	}
	return position
}

// UrgencyLevel returns the level of a customer's requests on a route, from 0, the most urgent, to MaxUrgencyLevel.
func (s *Snapshot) UrgencyLevel(route *Route, customer *Customer) int {
	return s.urgencyScale.level(urgencyOf(route, customer))
}
