// Package settings reads and checks the settings file of an entry host's
// process. The operators' configuration is not here; see package config.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"net/url"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
)

// Settings are the settings of one entry host.
type Settings struct {
	// HostID names this host among the entry hosts. Required.
	HostID string `json:"host_id"`
	// FailureDomain that this host is in. Required.
	FailureDomain string `json:"failure_domain"`
	// Region that this host is in. Default "default".
	Region string `json:"region"`
	// Listen is the IP number and port for callers. Required.
	Listen string `json:"listen"`
	// Advertise is the IP number and port that callers are told. Default Listen.
	Advertise string `json:"advertise"`
	// InnerListen is the IP number and port for other entry hosts and for
	// operators. Required; callers must not reach it.
	InnerListen string `json:"inner_listen"`
	// InnerAdvertise is the IP number and port that other entry hosts are told.
	// Default InnerListen.
	InnerAdvertise string `json:"inner_advertise"`
	// Seeds are inner addresses of entry hosts that are asked first at a start,
	// before the key-value service. Default none.
	Seeds []string `json:"seeds,omitempty"`
	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`
	// LogLevel is "trace", "debug", "info", "warn" or "error". Default "info".
	LogLevel string `json:"log_level"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	// KeyValue is the key-value service. Required.
	KeyValue string `json:"key_value"`
	// HostList is the list of live and leaving hosts. Required.
	HostList string `json:"host_list"`
}

// Error is a setting that was refused.
type Error struct {
	File     string
	Field    string
	Expected string
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	msg := "settings " + e.File
	if e.Field != "" {
		msg += ": field " + e.Field
	}
	msg += ": expected " + e.Expected
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Read reads, completes and checks a settings file.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Expected: "a readable file", Cause: err}
	}
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, &Error{File: path, Expected: "one JSON object of known fields", Cause: err}
	}
	s = s.WithDefaults()
	return s, s.Validate(path)
}

// WithDefaults returns s with its defaults filled in.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.InnerAdvertise == "" {
		s.InnerAdvertise = s.InnerListen
	}
	if s.Region == "" {
		s.Region = "default"
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	return s
}

// Validate checks s; file is named in the error. It returns *Error.
func (s Settings) Validate(file string) error {
	refuse := func(field, expected string) error {
		return &Error{File: file, Field: field, Expected: expected}
	}
	switch {
	case s.HostID == "":
		return refuse("host_id", "a name")
	case s.FailureDomain == "":
		return refuse("failure_domain", "a name")
	case !isAddress(s.Listen):
		return refuse("listen", "an IP number and port")
	case !isAddress(s.Advertise):
		return refuse("advertise", "an IP number and port")
	case !isAddress(s.InnerListen):
		return refuse("inner_listen", "an IP number and port")
	case !isAddress(s.InnerAdvertise):
		return refuse("inner_advertise", "an IP number and port")
	case !lo.EveryBy(s.Seeds, isAddress):
		return refuse("seeds", "IP numbers and ports")
	case !isURL(s.Platform.KeyValue):
		return refuse("platform.key_value", "an http URL")
	case !isURL(s.Platform.HostList):
		return refuse("platform.host_list", "an http URL")
	case hclog.LevelFromString(s.LogLevel) == hclog.NoLevel:
		return refuse("log_level", "trace, debug, info, warn or error")
	}
	return nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
