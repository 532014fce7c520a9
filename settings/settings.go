// Package settings reads and validates the settings file of an entry host's
// process. Package config handles the operators' configuration.
package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"os"
	"regexp"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/netaddr"
	"github.com/cardamompier/cardamompier/strictjson"
)

// Settings holds the settings of one entry host.
type Settings struct {
	// HostID identifies this host among the entry hosts. Required.
	HostID string `json:"host_id"`
	// FailureDomain is the failure domain of this host. Required.
	FailureDomain string `json:"failure_domain"`
	// Region is the region of this host. Default "default".
	Region string `json:"region"`
	// Listen is the IP address and port on which this host listens for callers.
	// Required.
	Listen string `json:"listen"`
	// Advertise is the IP address and port to which callers connect. Default Listen.
	Advertise string `json:"advertise"`
	// InnerListen is the IP address and port on which this host listens for other
	// entry hosts and for operators. Callers must not be able to reach it. Required.
	InnerListen string `json:"inner_listen"`
	// InnerAdvertise is the IP address and port to which other entry hosts connect.
	// Default InnerListen.
	InnerAdvertise string `json:"inner_advertise"`
	// Seeds lists inner addresses (the addresses for other entry hosts) of hosts that
	// this host contacts first when it starts, before the key-value service. Default
	// none.
	Seeds []string `json:"seeds,omitempty"`
	// Platform holds the URLs of the platform's services.
	Platform Platform `json:"platform"`
	// MemoryMB is the memory available to the process, in MiB. Default no limit; callers
	// are then limited as on a host of 160 MiB.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// MaxDescriptors is the number of files and connections that the process may have
	// open. Default the limit of the operating system.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// LogLevel is the lowest level that is logged: "trace", "debug", "info", "warn" or
	// "error". Default "info".
	LogLevel string `json:"log_level"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	// KeyValue is the URL of the key-value service. Required.
	KeyValue string `json:"key_value"`
	// HostList is the URL of the service that lists live and leaving hosts. Required.
	HostList string `json:"host_list"`
	// Cloud is the URL of the cloud API. Default none: this host neither buys nor ends
	// hosts in the cloud.
	Cloud string `json:"cloud,omitempty"`
	// Weights is the URL of the store of model weights. Required if Cloud is set;
	// otherwise it must be empty.
	Weights string `json:"weights,omitempty"`
}

// Read reads a settings file, fills in the defaults and validates the result. It
// returns an *Error.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Expected: "a readable file", Cause: err}
	}
	return Parse(path, data)
}

// Parse is like Read, but parses data; path is the file name for errors.
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

// WithDefaults returns s with each empty setting that has a default replaced by it.
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

// Validate returns an *Error for the first invalid setting of s, or nil; file is the
// file name for the error.
func (s Settings) Validate(file string) error {
	invalid := func(field, expected string) error {
		return &Error{File: file, Field: field, Expected: expected}
	}
	switch {
	case !isName(s.HostID):
		return invalid("host_id", expectedName)
	case !isName(s.FailureDomain):
		return invalid("failure_domain", expectedName)
	case !isName(s.Region):
		return invalid("region", expectedName)
	case !isAddress(s.Listen):
		return invalid("listen", "an IP number and port")
	case !netaddr.IsDialable(s.Advertise):
		return invalid("advertise", "an IP number and port that callers can connect to")
	case !isAddress(s.InnerListen):
		return invalid("inner_listen", "an IP number and port")
	case s.InnerListen == s.Listen:
		return invalid("inner_listen", "another address than listen")
	case !netaddr.IsDialable(s.InnerAdvertise):
		return invalid("inner_advertise", "an IP number and port that other entry hosts can connect to")
	case !lo.EveryBy(s.Seeds, netaddr.IsDialable):
		return invalid("seeds", "IP numbers and ports that can be connected to")
	case !isURL(s.Platform.KeyValue):
		return invalid("platform.key_value", "an http URL")
	case !isURL(s.Platform.HostList):
		return invalid("platform.host_list", "an http URL")
	case s.Platform.Cloud != "" && !isURL(s.Platform.Cloud):
		return invalid("platform.cloud", "an http URL, or none")
	case s.Platform.Weights != "" && !isURL(s.Platform.Weights):
		return invalid("platform.weights", "an http URL, or none")
	case s.Platform.Cloud != "" && s.Platform.Weights == "":
		return invalid("platform.weights", "an http URL, as platform.cloud has one")
	case s.Platform.Cloud == "" && s.Platform.Weights != "":
		return invalid("platform.cloud", "an http URL, as platform.weights has one")
	case s.MemoryMB < 0:
		return invalid("memory_mb", expectedPositive)
	case s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors:
		return invalid("max_descriptors", expectedDescriptors)
	case hclog.LevelFromString(s.LogLevel) == hclog.NoLevel:
		return invalid("log_level", "trace, debug, info, warn or error")
	}
	return nil
}

// expectedName is the error text for a setting that does not match namePattern.
const expectedName = "a letter or digit, then up to 62 letters, digits, dots, hyphens or underscores"

// namePattern matches the valid names of hosts, failure domains and regions.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func isName(text string) bool { return namePattern.MatchString(text) }

// isAddress reports whether text is an IP address with a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isURL reports whether text is an http or https URL with a host.
func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
