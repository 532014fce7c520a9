package settings

import (
	"errors"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/netaddr"
	"github.com/cardamompier/cardamompier/strictjson"
)

// Forwarding holds the settings of an entry host that forwards requests by a route
// table. All addresses are IP addresses with ports.
type Forwarding struct {
	// HostID identifies this host among the entry hosts. Required.
	HostID string `json:"host_id"`
	// FailureDomain and Region are the failure domain and the region of this host.
	// Required.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// FailureDomains maps each failure domain of the deployment to its region.
	FailureDomains map[string]string `json:"failure_domains"`
	// Listen is the listen address for callers' requests, ReadyListen for the
	// platform's readiness checks, DirectoryListen for callers that look up
	// addresses, and InnerListen for other entry hosts. Required.
	Listen          string `json:"listen"`
	ReadyListen     string `json:"ready_listen"`
	DirectoryListen string `json:"directory_listen"`
	InnerListen     string `json:"inner_listen"`
	// MetricsListen is the listen address of the metrics endpoint. Required.
	MetricsListen string `json:"metrics_listen"`
	// Seeds lists inner addresses (the addresses for other entry hosts) of hosts to
	// contact while no other entry host is known.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's key-value store. Required.
	Store string `json:"store"`
	// StoreCalls is the limit of calls per second to the key-value store from all
	// entry hosts together. Default 400.
	StoreCalls float64 `json:"store_calls_per_second"`
	// Duties is the address of the platform's API for usage reports and scaling
	// orders. Default none: this host sends no reports or orders.
	Duties string `json:"duties"`
	// MemoryMB is the memory available to the process, in MiB. Default no limit.
	MemoryMB int64 `json:"memory_mb"`
	// Cores is the number of processor cores available to the process, which may be
	// a fraction; LinkMbps is the bandwidth of its network link in Mbit/s. Hosts with
	// more of both do a larger share of the work for all hosts. Default unknown.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
	// GraceSeconds is the time from the signal to stop until the process is killed.
	// Default 8.
	GraceSeconds float64 `json:"grace_seconds"`
	// AddressSeconds is the time for which callers may cache the addresses that they
	// looked up. Default 2.
	AddressSeconds float64 `json:"address_seconds"`
	// RetryRatio, RetryBurst and RetryWindowSeconds limit the retries of all hosts at
	// one upstream pool: in each RetryWindowSeconds, at most RetryRatio retries per
	// request plus RetryBurst retries. Defaults 0.2, 50, 10.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryBurst         float64 `json:"retry_burst"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`
	// LimitExcess is the number of tokens by which a client account may exceed its
	// limit. Default 0.
	LimitExcess float64 `json:"limit_excess"`
	// UsageWindowSeconds is the length of a usage window, the interval for which
	// requests are counted and reported. Default 5.
	UsageWindowSeconds float64 `json:"usage_window_seconds"`
	// RoutesMS is the time in milliseconds within which a changed route table must be
	// in force on each host; LeavingMS is the time within which all hosts must stop
	// sending requests to an upstream that is leaving. Both default to 2000.
	RoutesMS  float64 `json:"routes_ms"`
	LeavingMS float64 `json:"leaving_ms"`
	// WeighCachedParts is whether an upstream for a prompt is chosen by estimates of which parts of the
	// prompt each upstream holds in its prompt cache. Default false.
	WeighCachedParts bool `json:"weigh_cached_parts"`
	// BalanceByRate measures the rate of each upstream and chooses upstreams by the
	// expected time until they answer. Default false.
	BalanceByRate bool `json:"balance_by_rate"`
	// RefuseHopeless refuses requests at once that are expected to start after their
	// deadline. Default false.
	RefuseHopeless bool `json:"refuse_hopeless"`
	// RuleParts are the names of the rule parts of the platform that are in force for
	// this deployment. They switch on the features that these parts call for, in
	// addition to those that the other settings switch on. Names that are not known
	// are ignored. Default none.
	RuleParts []string `json:"rule_parts"`
	// LogLevel is the lowest level that is logged: "trace", "debug", "info", "warn" or
	// "error". Default "info".
	LogLevel string `json:"log_level"`
}

// ReadForwarding reads a settings file, fills in the defaults and validates the
// result. It returns an *Error.
func ReadForwarding(path string) (Forwarding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Forwarding{}, &Error{File: path, Expected: "a readable file", Cause: err}
	}
	return ParseForwarding(path, data)
}

// ParseForwarding is like ReadForwarding, but parses data; path is the file name for
// errors.
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

// withDefaults returns s with each zero setting that has a default replaced by it.
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

// Validate returns an *Error for the first invalid setting of s, or nil; file is the
// file name for the error.
func (s Forwarding) Validate(file string) error {
	invalid := func(field, expected string) error { return &Error{File: file, Field: field, Expected: expected} }
	addresses := []struct{ field, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"directory_listen", s.DirectoryListen},
		{"inner_listen", s.InnerListen}, {"metrics_listen", s.MetricsListen}, {"store", s.Store},
	}
	for _, a := range addresses {
		if !netaddr.IsDialable(a.value) {
			return invalid(a.field, "an IP number and port that can be connected to")
		}
	}
	switch {
	case !isName(s.HostID):
		return invalid("host_id", expectedName)
	case !isName(s.FailureDomain):
		return invalid("failure_domain", expectedName)
	case !isName(s.Region):
		return invalid("region", expectedName)
	case !lo.EveryBy(s.Seeds, netaddr.IsDialable):
		return invalid("seeds", "IP numbers and ports that can be connected to")
	case s.Duties != "" && !netaddr.IsDialable(s.Duties):
		return invalid("duties", "an IP number and port, or none")
	case s.StoreCalls <= 0:
		return invalid("store_calls_per_second", expectedPositive)
	case s.GraceSeconds <= 0:
		return invalid("grace_seconds", expectedPositive)
	case s.AddressSeconds <= 0:
		return invalid("address_seconds", expectedPositive)
	case s.RetryRatio < 0 || s.RetryBurst < 0 || s.RetryWindowSeconds <= 0:
		return invalid("retry_window_seconds", expectedPositive)
	case s.LimitExcess < 0:
		return invalid("limit_excess", expectedPositive)
	case s.UsageWindowSeconds <= 0:
		return invalid("usage_window_seconds", expectedPositive)
	case s.Cores < 0:
		return invalid("cores", expectedPositive)
	case s.LinkMbps < 0:
		return invalid("link_mbps", expectedPositive)
	case s.RoutesMS <= 0:
		return invalid("routes_ms", expectedPositive)
	case s.LeavingMS <= 0:
		return invalid("leaving_ms", expectedPositive)
	case hclog.LevelFromString(s.LogLevel) == hclog.NoLevel:
		return invalid("log_level", "trace, debug, info, warn or error")
	}
	return nil
}

// expectedPositive is the error text for a number that is out of range.
const expectedPositive = "a number above zero"
