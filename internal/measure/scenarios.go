package measure

import (
	"slices"
	"time"
)

// unlimitedCapacity is the capacity of scenarios without a capacity limit; no load reaches it.
const unlimitedCapacity = 100_000

// Scenarios returns the scenarios in which the core's decisions are evaluated.
func Scenarios(seed uint64) []Scenario {
	reuse := Scenario{
		Name: "reuse-churn", Seed: seed, Servers: 12, Routers: 8, Zones: 3, TargetLoad: 16, Capacity: unlimitedCapacity, Bound: 1.25,
		CacheTokens: 1_500_000, Warmup: 15 * time.Minute, Duration: 135 * time.Minute,
		Churn: true, ReplaceEvery: 30 * time.Second, ZoneLoss: true,
	}
	skew := reuse
	skew.Name, skew.TargetLoad, skew.Surge, skew.ZoneLoss = "skew", 24, true, false
	skew.Warmup, skew.Duration = 5*time.Minute, 35*time.Minute
	steady := skew
	steady.Name, steady.Churn, steady.Surge = "skew-steady", false, false
	low := skew
	low.Name, low.TargetLoad = "skew-low", 9
	large := skew
	// One availability zone at the fleet size expected in two years.
	large.Name, large.Servers, large.Routers, large.Zones = "skew-large", 148, 58, 1
	large.Warmup, large.Duration = 2*time.Minute, 6*time.Minute
	// Ten times the expected rate of 290 replacements a day among 350 instances.
	large.ReplaceEvery = 3 * time.Minute
	full := large
	full.Name, full.TargetLoad = "skew-two-years", 65
	full.Warmup, full.Duration = 90*time.Second, 210*time.Second
	full.CacheTokens *= 3
	full.Policies = []string{"rendezvous", "bound-exact", "ours", "ours-hint"}
	rush := skew
	rush.Name, rush.Capacity, rush.Churn = "rush", 36, false
	crowded := rush
	crowded.Name, crowded.Crowd = "rush-crowded", 0.9
	return []Scenario{
		reuse, skew, steady, low, large, full, rush, crowded, coldSessionsScenario(seed), coldFeedstockScenario(seed), badPartScenario(seed),
	}
}

// CurveBounds lists the bounds at which the curve compares reuse with skew.
var CurveBounds = []float64{1.05, 1.1, 1.15, 1.2, 1.25, 1.3, 1.4, 1.5, 1.75, 2}

// Includes reports whether the scenario is run with the policy.
func (s *Scenario) Includes(policyName string) bool {
	return len(s.Policies) == 0 || slices.Contains(s.Policies, policyName)
}

// Curve returns the scenarios of the curve: the skew scenario at each bound.
func Curve(seed uint64) []Scenario {
	var list []Scenario
	for _, bound := range CurveBounds {
		s := Scenarios(seed)[1]
		s.Name, s.Bound = "curve", bound
		s.Policies = []string{"ours", "ours-hint", "oracle"}
		list = append(list, s)
	}
	return list
}
