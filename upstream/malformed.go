package upstream

import (
	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/stricthttp"
)

// MalformedHeads counts rejected heads of upstreams' responses, by reason.
var MalformedHeads = metrics.New("upstream_malformed_heads_total", "Rejected heads of upstreams' responses, by reason.")

// CountMalformedHead reports whether a call failed because the head of its response is invalid, and counts the head.
func CountMalformedHead(err error) bool {
	var head *stricthttp.HeadError
	if !errors.As(err, &head) {
		return false
	}
	MalformedHeads.Inc(string(head.Reason))
	return true
}
