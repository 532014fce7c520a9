// Package settings reads and checks the settings file of an entry host's
// process. The operators' configuration is not here; see package config.
package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"os"
	"regexp"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/strictjson"
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
	// Cloud is the cloud API. Default none: no host is bought or ended.
	Cloud string `json:"cloud,omitempty"`
	// Weights is the weight store. Required with Cloud, and only then.
	Weights string `json:"weights,omitempty"`
}

// Read reads, completes and checks a settings file. It returns *Error.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Expected: "a readable file", Cause: err}
	}
	return Parse(path, data)
}

// Parse is Read for a file's content.
func Parse(path string, data []byte) (Settings, error) {
	var s Settings
	if fault := strictjson.Decode(data, &s); fault != nil {
		return Settings{}, &Error{File: path, Line: fault.Line, Field: fault.Field, Expected: fault.Expected, Cause: fault.Cause}
	}
	s = s.WithDefaults()
	err := s.Validate(path)
	var failed *Error
	if errors.As(err, &failed) {
		failed.Line = strictjson.LineOf(data, failed.Field)
	}
	return s, err
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
	case !isName(s.HostID):
		return refuse("host_id", expectedName)
	case !isName(s.FailureDomain):
		return refuse("failure_domain", expectedName)
	case !isName(s.Region):
		return refuse("region", expectedName)
	case !isAddress(s.Listen):
		return refuse("listen", "an IP number and port")
	case !isDialable(s.Advertise):
		return refuse("advertise", "an IP number and port that callers can connect to")
	case !isAddress(s.InnerListen):
		return refuse("inner_listen", "an IP number and port")
	case s.InnerListen == s.Listen:
		return refuse("inner_listen", "another address than listen")
	case !isDialable(s.InnerAdvertise):
		return refuse("inner_advertise", "an IP number and port that other entry hosts can connect to")
	case !lo.EveryBy(s.Seeds, isDialable):
		return refuse("seeds", "IP numbers and ports that can be connected to")
	case !isURL(s.Platform.KeyValue):
		return refuse("platform.key_value", "an http URL")
	case !isURL(s.Platform.HostList):
		return refuse("platform.host_list", "an http URL")
	case s.Platform.Cloud != "" && !isURL(s.Platform.Cloud):
		return refuse("platform.cloud", "an http URL, or none")
	case s.Platform.Weights != "" && !isURL(s.Platform.Weights):
		return refuse("platform.weights", "an http URL, or none")
	case s.Platform.Cloud != "" && s.Platform.Weights == "":
		return refuse("platform.weights", "an http URL, as platform.cloud has one")
	case s.Platform.Cloud == "" && s.Platform.Weights != "":
		return refuse("platform.cloud", "an http URL, as platform.weights has one")
	case hclog.LevelFromString(s.LogLevel) == hclog.NoLevel:
		return refuse("log_level", "trace, debug, info, warn or error")
	}
	return nil
}

const expectedName = "a letter or digit, then up to 62 letters, digits, dots, hyphens or underscores"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func isName(text string) bool { return namePattern.MatchString(text) }

// isDialable says whether others can connect to an address: an unspecified IP
// number can be listened on only.
func isDialable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && !address.Addr().IsUnspecified() && address.Port() != 0
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
