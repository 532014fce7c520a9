// Package config manages the configuration that operators publish: services
// and client accounts. It reads and checks their files, publishes them as one
// numbered revision to the platform's key-value service, and updates every
// entry host (a host that accepts requests) to the newest revision.
//
// The settings of a single process are read by package settings.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/strictjson"
)

// Kind is the kind of upstream that serves a service's requests.
type Kind string

// KindModel and KindPlain are the kinds of services.
const (
	// KindModel marks a service that model engines serve through the chat endpoint.
	KindModel Kind = "model"
	// KindPlain marks a service that plain HTTP upstreams serve under the service's path.
	KindPlain Kind = "plain"
)

// Duration is a time span that JSON encodes as text, for example "30s".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It returns a
// *strictjson.ValueError for text that is not a time span.
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

// Service is the content of one service file.
type Service struct {
	// Name identifies the service. Chat requests carry it in their "model" field.
	Name string `json:"service"`
	Kind Kind   `json:"kind"`
	// Pool is the name of the service's upstream pool in the platform's host list.
	Pool string `json:"pool"`
	// Model is the model that the service's engines run. It is empty for plain services.
	Model string `json:"model,omitempty"`
	// Adapter is the adapter that engines load on top of the model. Empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Idempotent reports whether a request may be sent to an upstream more than
	// once. The default is false; for KindModel it is always true.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline bounds the time from the acceptance of a request to the last byte
	// of its response. The default is 2 minutes.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxTokens bounds the length of a response, in tokens. The default is 4096.
	// It is only valid for KindModel.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Capacity maps each machine class to the rate, in tokens per second, at
	// which one host of that class generates within the latency target. Hosts
	// are provisioned for the pool according to it; by default it is empty and
	// the pool is not provisioned. It is only valid for KindModel.
	Capacity map[string]float64 `json:"capacity,omitempty"`
	// MinTokensPerSecond is the smallest demand, in tokens per second, that the
	// pool is sized for; lower demand is rounded up to it. The default of 0
	// results in a single host at low demand. It is only valid with Capacity.
	MinTokensPerSecond float64 `json:"min_tokens_per_second,omitempty"`
}

// Account is the content of one client account file.
type Account struct {
	Name string `json:"account"`
	// KeyDigests lists the account's valid API keys, each as "sha256:" and the
	// hex digest of the key.
	KeyDigests []string `json:"key_digests"`
	// Services lists the names of the services that the account may call. Empty means none.
	Services []string `json:"services"`
	// RequestsPerSecond limits the account's request rate over all entry hosts
	// (hosts that accept requests) together. Zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits the rate of tokens generated for the account over all
	// entry hosts (hosts that accept requests) together. Zero means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Weight is the account's share relative to other accounts when capacity is
	// short. The default is 1.
	Weight float64 `json:"weight,omitempty"`
}

// DefaultDeadline, DefaultMaxTokens and DefaultWeight replace fields that are
// missing from service and client account files.
const (
	DefaultDeadline  = Duration(2 * time.Minute)
	DefaultMaxTokens = 4096
	DefaultWeight    = 1
)

// Document is the whole configuration in its stored form: every service and
// client account, each with the revision that last changed it.
type Document struct {
	Revision uint64 `json:"revision"`
	// Era is the era of the key-value service in which the revision was published. After the service has come back
	// from an older copy, lost revisions are given out again.
	Era      kv.Era                 `json:"era,omitempty"`
	Services map[string]ServiceItem `json:"services"`
	Accounts map[string]AccountItem `json:"accounts"`
	// Writer and Nonce identify the publish that wrote this revision. A publisher
	// that lost the answer to its write reads them to find out whether the write
	// succeeded.
	Writer string `json:"writer"`
	Nonce  string `json:"nonce"`
	// PublishedAt is the publisher's clock time. It is informational only.
	PublishedAt time.Time `json:"published_at"`
	// Removed maps each recently removed item to the revision that removed it,
	// so that a publish concurrent with the removal fails with a conflict.
	Removed map[string]uint64 `json:"removed,omitempty"`
	// Recent holds the marks (number and writer) of the latest revisions in
	// ascending order, including this revision as the last one.
	Recent []RevisionMark `json:"recent"`
}

// order returns a number by which documents of all eras are ordered.
func (d Document) order() uint64 { return uint64(kv.VersionOf(d.Era, d.Revision)) }

// order returns that of the document.
func (s *Snapshot) order() uint64 { return uint64(kv.VersionOf(s.era, s.Revision)) }

// RevisionMark records which publish wrote a revision.
type RevisionMark struct {
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

// Snapshot is an immutable view of one revision, indexed for lookups by name
// and by API key.
type Snapshot struct {
	Revision uint64
	era      kv.Era
	Services map[string]*Service
	Accounts map[string]*Account
	keys     []accountKey
}

type accountKey struct {
	digest  [sha256.Size]byte
	account *Account
}

// NewSnapshot builds the indexed view of a document.
func NewSnapshot(doc Document) *Snapshot {
	s := &Snapshot{Revision: doc.Revision, era: doc.Era, Services: map[string]*Service{}, Accounts: map[string]*Account{}}
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

// Authenticate returns the client account that owns the API key. It compares
// every digest in constant time, even after a match.
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

// Allows reports whether the client account may call the service.
func (a *Account) Allows(service string) bool {
	for _, name := range a.Services {
		if name == service {
			return true
		}
	}
	return false
}

// DigestOf returns the digest of an API key in the format of client account files.
func DigestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

const digestPrefix = "sha256:"
