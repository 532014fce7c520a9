// Package kvhttp is the adapter to the platform's key-value service: JSON
// calls over HTTP. The wire form is known to this package alone; Handler
// serves the same form from any kv.Store, for the stand-in process.
package kvhttp

import (
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// Paths of the calls.
const (
	pathGet       = "/v1/get"
	pathList      = "/v1/list"
	pathSwap      = "/v1/swap"
	pathDelete    = "/v1/delete"
	pathWatch     = "/v1/watch"
	pathGrant     = "/v1/lease/grant"
	pathKeepAlive = "/v1/lease/keepalive"
	pathRevoke    = "/v1/lease/revoke"
)

type callBody struct {
	Key    string     `json:"key,omitempty"`
	Value  []byte     `json:"value,omitempty"`
	Expect kv.Version `json:"expect,omitempty"`
	Lease  kv.LeaseID `json:"lease,omitempty"`
	After  kv.Version `json:"after,omitempty"`
	// Wait bounds a watch, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	TTLMS  int64 `json:"ttl_ms,omitempty"`
}

type replyBody struct {
	Entries  []entryBody `json:"entries,omitempty"`
	Revision kv.Version  `json:"revision,omitempty"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
	Error    *errorBody  `json:"error,omitempty"`
}

type entryBody struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Version kv.Version `json:"version"`
	Lease   kv.LeaseID `json:"lease,omitempty"`
	Deleted bool       `json:"deleted,omitempty"`
}

type errorBody struct {
	Reason  kv.Reason  `json:"reason"`
	Current kv.Version `json:"current,omitempty"`
}

func (e entryBody) entry() kv.Entry {
	return kv.Entry{Key: e.Key, Value: e.Value, Version: e.Version, Lease: e.Lease}
}

func bodyOf(e kv.Entry) entryBody {
	return entryBody{Key: e.Key, Value: e.Value, Version: e.Version, Lease: e.Lease}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
