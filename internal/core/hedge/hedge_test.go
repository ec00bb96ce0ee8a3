package hedge_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/hedge"
)

// Guards against hedges that run a request more often than it may run, or that cannot go on with its response.
func TestTarget(t *testing.T) {
	tests := []struct {
		name    string
		change  func(r *hedge.Request)
		silence hedge.Silence
		want    hedge.Target
	}{
		{"no response yet", func(*hedge.Request) {}, hedge.Silence{}, hedge.AnotherServer},
		{"another attempt is not silent", func(r *hedge.Request) { r.OthersBusy = true }, hedge.Silence{}, hedge.None},
		{"no attempt left", func(r *hedge.Request) { r.Attempts = r.MaxAttempts }, hedge.Silence{}, hedge.None},
		{"no run left", func(r *hedge.Request) { r.Runs = r.MaxRuns }, hedge.Silence{}, hedge.None},
		{"may run once", func(r *hedge.Request) { r.Repeatable = false }, hedge.Silence{}, hedge.None},
		{"stream that may go on", func(r *hedge.Request) { r.ResponseStarted = true }, hedge.Silence{HasEvents: true}, hedge.AnotherServer},
		{"response without events", func(r *hedge.Request) { r.ResponseStarted = true }, hedge.Silence{}, hedge.None},
		{"stream that may not go on", func(r *hedge.Request) {
			r.ResponseStarted, r.Resumable = true, false
		}, hedge.Silence{HasEvents: true}, hedge.None},
		{"own interface, no event", func(r *hedge.Request) { r.OwnInterface = true }, hedge.Silence{}, hedge.None},
		{"own interface, stuck", func(r *hedge.Request) { r.OwnInterface = true }, hedge.Silence{Stuck: true}, hedge.AnotherServer},
		{"own interface, events", func(r *hedge.Request) { r.OwnInterface = true }, hedge.Silence{HasEvents: true}, hedge.SameServer},
		{"own interface, events, may run once", func(r *hedge.Request) {
			r.OwnInterface, r.Repeatable, r.Runs = true, false, r.MaxRuns
		}, hedge.Silence{HasEvents: true, Stuck: true}, hedge.SameServer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := hedge.Request{Attempts: 1, MaxAttempts: 3, Runs: 1, MaxRuns: 2, Repeatable: true, Resumable: true}
			tt.change(&r)
			require.Equal(t, tt.want, r.Target(tt.silence))
		})
	}
}
