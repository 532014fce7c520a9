// Package kvhttp implements kv.Store with JSON calls over HTTP to the platform's
// key-value service. Only this package defines the wire format. Handler serves
// the same format from any kv.Store, for the process that replaces the platform
// in tests.
package kvhttp

import (
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// HTTP paths of the calls to the key-value service.
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

// callBody is the JSON body of a request. Each call uses only some of the fields.
type callBody struct {
	Key    string     `json:"key,omitempty"`
	Value  []byte     `json:"value,omitempty"`
	Expect kv.Version `json:"expect,omitempty"`
	Lease  kv.LeaseID `json:"lease,omitempty"`
	After  kv.Version `json:"after,omitempty"`
	// WaitMS limits how long a watch waits for a change, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	TTLMS  int64 `json:"ttl_ms,omitempty"`
}

// replyBody is the JSON body of a response. Error is nil if the call succeeded.
type replyBody struct {
	Entries  []entryBody `json:"entries,omitempty"`
	Revision kv.Version  `json:"revision,omitempty"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
	Error    *errorBody  `json:"error,omitempty"`
}

// entryBody is the JSON form of a kv.Entry or a kv.Event.
type entryBody struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Version kv.Version `json:"version"`
	Lease   kv.LeaseID `json:"lease,omitempty"`
	Deleted bool       `json:"deleted,omitempty"`
}

// errorBody is the JSON form of a kv.Error.
type errorBody struct {
	Reason  kv.Reason  `json:"reason"`
	Current kv.Version `json:"current,omitempty"`
}

// entry returns e as a kv.Entry.
func (e entryBody) entry() kv.Entry {
	return kv.Entry{Key: e.Key, Value: e.Value, Version: e.Version, Lease: e.Lease}
}

// bodyOf returns the JSON form of e.
func bodyOf(e kv.Entry) entryBody {
	return entryBody{Key: e.Key, Value: e.Value, Version: e.Version, Lease: e.Lease}
}

// milliseconds returns the duration of n milliseconds.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
