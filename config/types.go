// Package config holds the operators' published configuration: services and
// client accounts, read from short files, checked, published as one revision
// to the platform's key-value service, and followed by every entry host.
//
// It leaves the process's own settings to package settings.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cardamompier/cardamompier/strictjson"
)

// Kind says what serves a service's requests.
type Kind string

// The kinds of services.
const (
	// KindModel is served by model engines, through the chat endpoint.
	KindModel Kind = "model"
	// KindPlain is served by plain HTTP services, under the service's path.
	KindPlain Kind = "plain"
)

// Duration is a time span written as text in JSON, for example "30s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It returns *strictjson.ValueError.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	err := json.Unmarshal(data, &text)
	if err == nil {
		var span time.Duration
		span, err = time.ParseDuration(text)
		*d = Duration(span)
	}
	if err != nil {
		return &strictjson.ValueError{Raw: string(data), Expected: `a time span such as "30s"`}
	}
	return nil
}

// Service is one service file.
type Service struct {
	// Name is the service's name, and the "model" that callers name in a chat request.
	Name string `json:"service"`
	Kind Kind   `json:"kind"`
	// Pool is the pool of upstreams in the platform's host list.
	Pool string `json:"pool"`
	// Model is the model that the engines run. Empty for plain services.
	Model string `json:"model,omitempty"`
	// Adapter is loaded on top of the model. Empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Idempotent says whether a request may be sent to an upstream again.
	// Default false; always true for KindModel.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline bounds a request from acceptance to its last byte. Default 2m.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxTokens bounds an answer, in tokens. Default 4096. KindModel only.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Capacity is what a host of each machine class generates at the latency
	// target, in tokens a second. The pool's hosts are bought by it. Default
	// none: the pool is not provisioned. KindModel only.
	Capacity map[string]float64 `json:"capacity,omitempty"`
	// MinTokensPerSecond is what the pool is sized for when fewer are asked
	// for, in tokens a second. Default 0, for a single host. With Capacity only.
	MinTokensPerSecond float64 `json:"min_tokens_per_second,omitempty"`
}

// Account is one client account file.
type Account struct {
	Name string `json:"account"`
	// KeyDigests are "sha256:" and the hex digest of each valid key.
	KeyDigests []string `json:"key_digests"`
	// Services that the account may call. Empty means none.
	Services []string `json:"services"`
	// RequestsPerSecond over all entry hosts together. Zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond generated over all entry hosts together. Zero means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Weight is the account's share when capacity is short. Default 1.
	Weight float64 `json:"weight,omitempty"`
}

// Defaults of service and account files.
const (
	DefaultDeadline  = Duration(2 * time.Minute)
	DefaultMaxTokens = 4096
	DefaultWeight    = 1
)

// Document is the whole configuration as it is stored: each item with the
// revision that last changed it.
type Document struct {
	Revision uint64                 `json:"revision"`
	Services map[string]ServiceItem `json:"services"`
	Accounts map[string]AccountItem `json:"accounts"`
	// Writer and Nonce identify the publish that wrote this revision, so that
	// a publisher whose answer was lost can tell whether it won.
	Writer string `json:"writer"`
	Nonce  string `json:"nonce"`
	// PublishedAt is the publisher's clock, for people.
	PublishedAt time.Time `json:"published_at"`
	// Removed holds the revision that removed each item of late, so that a
	// publish that races a removal is told of it.
	Removed map[string]uint64 `json:"removed,omitempty"`
	// Recent holds the marks of the latest revisions in order, this one last.
	Recent []Mark `json:"recent"`
}

// Mark says who wrote a revision.
type Mark struct {
	Revision    uint64    `json:"revision"`
	Writer      string    `json:"writer"`
	Nonce       string    `json:"nonce"`
	PublishedAt time.Time `json:"published_at"`
}

// ServiceItem is a service with the revision that last changed it.
type ServiceItem struct {
	Service
	Changed uint64 `json:"changed"`
}

// AccountItem is a client account with the revision that last changed it.
type AccountItem struct {
	Account
	Changed uint64 `json:"changed"`
}

// Snapshot is an immutable view of one revision, indexed for requests.
type Snapshot struct {
	Revision uint64
	Services map[string]*Service
	Accounts map[string]*Account
	keys     []accountKey
}

type accountKey struct {
	digest  [sha256.Size]byte
	account *Account
}

// NewSnapshot indexes a document.
func NewSnapshot(doc Document) *Snapshot {
	s := &Snapshot{Revision: doc.Revision, Services: map[string]*Service{}, Accounts: map[string]*Account{}}
	for name, item := range doc.Services {
		service := item.Service
		s.Services[name] = &service
	}
	for name, item := range doc.Accounts {
		account := item.Account
		s.Accounts[name] = &account
		s.addKeys(&account)
	}
	return s
}

func (s *Snapshot) addKeys(account *Account) {
	for _, text := range account.KeyDigests {
		var key accountKey
		if _, err := hex.Decode(key.digest[:], []byte(text[len(digestPrefix):])); err == nil {
			key.account = account
			s.keys = append(s.keys, key)
		}
	}
}

// Authenticate returns the client account that owns key. Every digest is
// compared, in constant time, whether or not an earlier one matched.
func (s *Snapshot) Authenticate(key string) (*Account, bool) {
	digest := sha256.Sum256([]byte(key))
	var found *Account
	for i := range s.keys {
		if subtle.ConstantTimeCompare(digest[:], s.keys[i].digest[:]) == 1 {
			found = s.keys[i].account
		}
	}
	return found, found != nil
}

// Allows says whether the account may call the service.
func (a *Account) Allows(service string) bool {
	for _, name := range a.Services {
		if name == service {
			return true
		}
	}
	return false
}

// DigestOf returns the digest of a key as it stands in an account file.
func DigestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

const digestPrefix = "sha256:"
