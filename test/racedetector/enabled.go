//go:build race

package racedetector

// Enabled is set if this build has the race detector.
const Enabled = true
