// Package racedetector chooses what tests run with the race detector. It multiplies their time, and finds nothing in code
// without goroutines; such tests run in full without it, and at small sizes with it.
package racedetector

// largestFleet is the number of instances up to which a fleet in virtual time runs with the race detector.
const largestFleet = 12

// RunsFleet reports whether a fleet of a size in virtual time runs in this build. Without the race detector all do.
func RunsFleet(instances int) bool { return !Enabled || instances <= largestFleet }

// Choose returns what a test uses in this build: the full amount, or a small one with the race detector.
func Choose[T any](full, small T) T {
	if Enabled {
		return small
	}
	return full
}
