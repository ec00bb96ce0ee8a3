//go:build pins

// Package internal pins the libraries that the parts now being built will
// import, so that go.mod stays the same on every branch until then.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/hashicorp/yamux"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/stretchr/testify/assert"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
