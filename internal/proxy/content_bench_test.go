package proxy

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func BenchmarkContentHash(b *testing.B) {
	req := fasthttp.AcquireRequest()
	req.SetBodyString(strings.Repeat("x", 40_000))
	r := &Request{Target: "/chat"}
	for b.Loop() {
		contentHash(req, r)
	}
}
