package settings

import (
	"errors"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/strictjson"
)

// Forwarding are the settings of an entry host that forwards requests by a
// route table. Addresses are IP numbers with ports.
type Forwarding struct {
	// HostID names this host among the entry hosts. Required.
	HostID string `json:"host_id"`
	// FailureDomain and Region that this host is in. Required.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// FailureDomains are those of the deployment with their regions.
	FailureDomains map[string]string `json:"failure_domains"`
	// Listen is for callers, ReadyListen and DirectoryListen for the platform's
	// and the callers' questions about this host, InnerListen for other entry
	// hosts. Required.
	Listen          string `json:"listen"`
	ReadyListen     string `json:"ready_listen"`
	DirectoryListen string `json:"directory_listen"`
	InnerListen     string `json:"inner_listen"`
	// MetricsListen serves the counters. Required.
	MetricsListen string `json:"metrics_listen"`
	// Seeds are inner addresses that are asked while no others are known.
	Seeds []string `json:"seeds"`
	// Store is the platform's key-value store. Required.
	Store string `json:"store"`
	// StoreCalls is what all entry hosts together may call a second. Default 400.
	StoreCalls float64 `json:"store_calls_per_second"`
	// Duties is the platform's API for duties. Default none: no duties.
	Duties string `json:"duties"`
	// MemoryMB is the memory of the process. Default no limit.
	MemoryMB int64 `json:"memory_mb"`
	// Cores is the process's part of a processor, LinkMbps the bandwidth of its
	// link in Mbit/s. Hosts with more of both do more of what is done for all.
	// Default unknown.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
	// GraceSeconds pass between a stop and a kill. Default 8.
	GraceSeconds float64 `json:"grace_seconds"`
	// AddressSeconds is how long callers may keep an answer. Default 2.
	AddressSeconds float64 `json:"address_seconds"`
	// RetryRatio, RetryBurst and RetryWindowSeconds bound repeated attempts of
	// all hosts. Defaults 0.2, 50, 10.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryBurst         float64 `json:"retry_burst"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// LimitExcess is the tolerated excess over a client account's limit, in
	// tokens. Default 0.
	LimitExcess float64 `json:"limit_excess"`
	// UsageWindowSeconds is the length of a usage window. Default 5.
	UsageWindowSeconds float64 `json:"usage_window_seconds"`
	// RoutesMS is the time in milliseconds in which a change of the routes must be
	// in force on each host, LeavingMS that in which an upstream that leaves must
	// get no new work. Defaults 2000.
	RoutesMS  float64 `json:"routes_ms"`
	LeavingMS float64 `json:"leaving_ms"`
	// LogLevel is "trace", "debug", "info", "warn" or "error". Default "info".
	LogLevel string `json:"log_level"`
}

// ReadForwarding reads, completes and checks a settings file. It returns *Error.
func ReadForwarding(path string) (Forwarding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Forwarding{}, &Error{File: path, Expected: "a readable file", Cause: err}
	}
	return ParseForwarding(path, data)
}

// ParseForwarding is ReadForwarding for a file's content.
func ParseForwarding(path string, data []byte) (Forwarding, error) {
	var s Forwarding
	if fault := strictjson.Decode(data, &s); fault != nil {
		return s, &Error{File: path, Line: fault.Line, Field: fault.Field, Expected: fault.Expected, Cause: fault.Cause}
	}
	s = s.withDefaults()
	err := s.Validate(path)
	var failed *Error
	if errors.As(err, &failed) {
		failed.Line = strictjson.LineOf(data, failed.Field)
	}
	return s, err
}

func (s Forwarding) withDefaults() Forwarding {
	s.StoreCalls = lo.CoalesceOrEmpty(s.StoreCalls, 400)
	s.GraceSeconds = lo.CoalesceOrEmpty(s.GraceSeconds, 8)
	s.AddressSeconds = lo.CoalesceOrEmpty(s.AddressSeconds, 2)
	s.RetryRatio = lo.CoalesceOrEmpty(s.RetryRatio, 0.2)
	s.RetryBurst = lo.CoalesceOrEmpty(s.RetryBurst, 50)
	s.RetryWindowSeconds = lo.CoalesceOrEmpty(s.RetryWindowSeconds, 10)
	s.UsageWindowSeconds = lo.CoalesceOrEmpty(s.UsageWindowSeconds, 5)
	s.RoutesMS = lo.CoalesceOrEmpty(s.RoutesMS, 2000)
	s.LeavingMS = lo.CoalesceOrEmpty(s.LeavingMS, 2000)
	s.LogLevel = lo.CoalesceOrEmpty(s.LogLevel, "info")
	return s
}

// Validate checks s; file is named in the error. It returns *Error.
func (s Forwarding) Validate(file string) error {
	refuse := func(field, expected string) error { return &Error{File: file, Field: field, Expected: expected} }
	addresses := []struct{ field, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"directory_listen", s.DirectoryListen},
		{"inner_listen", s.InnerListen}, {"metrics_listen", s.MetricsListen}, {"store", s.Store},
	}
	for _, a := range addresses {
		if !isDialable(a.value) {
			return refuse(a.field, "an IP number and port that can be connected to")
		}
	}
	switch {
	case !isName(s.HostID):
		return refuse("host_id", expectedName)
	case !isName(s.FailureDomain):
		return refuse("failure_domain", expectedName)
	case !isName(s.Region):
		return refuse("region", expectedName)
	case !lo.EveryBy(s.Seeds, isDialable):
		return refuse("seeds", "IP numbers and ports that can be connected to")
	case s.Duties != "" && !isDialable(s.Duties):
		return refuse("duties", "an IP number and port, or none")
	case s.StoreCalls <= 0:
		return refuse("store_calls_per_second", expectedPositive)
	case s.GraceSeconds <= 0:
		return refuse("grace_seconds", expectedPositive)
	case s.AddressSeconds <= 0:
		return refuse("address_seconds", expectedPositive)
	case s.RetryRatio < 0 || s.RetryBurst < 0 || s.RetryWindowSeconds <= 0:
		return refuse("retry_window_seconds", expectedPositive)
	case s.LimitExcess < 0:
		return refuse("limit_excess", expectedPositive)
	case s.UsageWindowSeconds <= 0:
		return refuse("usage_window_seconds", expectedPositive)
	case s.Cores < 0:
		return refuse("cores", expectedPositive)
	case s.LinkMbps < 0:
		return refuse("link_mbps", expectedPositive)
	case s.RoutesMS <= 0:
		return refuse("routes_ms", expectedPositive)
	case s.LeavingMS <= 0:
		return refuse("leaving_ms", expectedPositive)
	case hclog.LevelFromString(s.LogLevel) == hclog.NoLevel:
		return refuse("log_level", "trace, debug, info, warn or error")
	}
	return nil
}

const expectedPositive = "a number above zero"
