package config

import (
	"context"
	"encoding/json"
	"reflect"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
)

// Key is where the configuration is stored.
const Key = "config/current"

const maxPublishAttempts = 8

// PublishError is a publish that was not accepted, or whose outcome is unknown.
type PublishError struct {
	Reason PublishReason
	// Item is the service or client account that clashed.
	Item  string
	Cause error
}

// PublishReason classifies a failed publish.
type PublishReason string

// The reasons of a failed publish.
const (
	// PublishConflict: another publish changed the same item first.
	PublishConflict PublishReason = "conflict"
	// PublishUnavailable: nothing was published.
	PublishUnavailable PublishReason = "unavailable"
	// PublishUnknown: the service could not say whether the publish won.
	PublishUnknown PublishReason = "unknown"
	// PublishTooLarge: the whole configuration exceeds kv.MaxValueSize.
	PublishTooLarge PublishReason = "too_large"
	// PublishCorrupt: the stored configuration could not be read.
	PublishCorrupt PublishReason = "corrupt"
)

// Error implements error.
func (e *PublishError) Error() string {
	msg := "publish: " + string(e.Reason)
	if e.Item != "" {
		msg += " on " + e.Item
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *PublishError) Unwrap() error { return e.Cause }

// Publisher publishes files as a new revision.
type Publisher struct {
	Store  kv.Store
	Writer string
	Now    func() time.Time
}

// Read returns the stored configuration; an empty document when none was published.
func Read(ctx context.Context, store kv.Store) (Document, kv.Version, error) {
	entry, err := store.Get(ctx, Key)
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		return Document{Services: map[string]ServiceItem{}, Accounts: map[string]AccountItem{}}, 0, nil
	}
	if err != nil {
		return Document{}, 0, err
	}
	doc, err := Decode(entry.Value)
	return doc, entry.Version, err
}

// Decode decodes a stored document.
func Decode(data []byte) (Document, error) {
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return Document{}, &PublishError{Reason: PublishCorrupt, Cause: err}
	}
	return doc, nil
}

// Publish merges files into the stored configuration. An item that another
// publish changed meanwhile, to something else, is a conflict; publishes of
// different items both get through. It returns the revision that holds the
// files, which is the old one when nothing changed.
func (p *Publisher) Publish(ctx context.Context, files Files) (uint64, error) {
	base, version, err := Read(ctx, p.Store)
	if err != nil {
		return 0, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
	current := base
	for range maxPublishAttempts {
		next, changed := merge(current, files)
		if !changed {
			return current.Revision, nil
		}
		p.sign(&next)
		revision, err := p.write(ctx, next, version)
		if err == nil {
			return revision, nil
		}
		if kv.ReasonOf(err) != kv.ReasonConflict {
			return 0, err
		}
		if current, version, err = Read(ctx, p.Store); err != nil {
			return 0, &PublishError{Reason: PublishUnavailable, Cause: err}
		}
		if item := clash(base, current, files); item != "" {
			return 0, &PublishError{Reason: PublishConflict, Item: item}
		}
	}
	return 0, &PublishError{Reason: PublishUnavailable}
}

func (p *Publisher) sign(doc *Document) {
	doc.Writer, doc.Nonce, doc.PublishedAt = p.Writer, uuid.NewString(), p.Now().UTC()
}

func (p *Publisher) write(ctx context.Context, doc Document, version kv.Version) (uint64, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, &PublishError{Reason: PublishCorrupt, Cause: err}
	}
	_, err = p.Store.CompareAndSwap(ctx, kv.Write{Key: Key, Value: value, Expect: version})
	switch kv.ReasonOf(err) {
	case "":
		return doc.Revision, nil
	case kv.ReasonConflict:
		return 0, err
	case kv.ReasonTooLarge:
		return 0, &PublishError{Reason: PublishTooLarge, Cause: err}
	case kv.ReasonUnknown:
		return 0, &PublishError{Reason: PublishUnknown, Cause: err}
	default:
		return 0, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
}

// merge returns the next revision of doc with files laid over it, and whether
// anything differs.
func merge(doc Document, files Files) (Document, bool) {
	next := Document{Revision: doc.Revision + 1, Services: map[string]ServiceItem{}, Accounts: map[string]AccountItem{}}
	for name, item := range doc.Services {
		next.Services[name] = item
	}
	for name, item := range doc.Accounts {
		next.Accounts[name] = item
	}
	changed := false
	for name, service := range files.Services {
		if old, ok := doc.Services[name]; !ok || old.Service != service {
			next.Services[name] = ServiceItem{Service: service, Changed: next.Revision}
			changed = true
		}
	}
	for name, account := range files.Accounts {
		if old, ok := doc.Accounts[name]; !ok || !reflect.DeepEqual(old.Account, account) {
			next.Accounts[name] = AccountItem{Account: account, Changed: next.Revision}
			changed = true
		}
	}
	return next, changed
}

// clash returns the first item in files that changed between two revisions to
// something other than what files hold.
func clash(base, current Document, files Files) string {
	for name, service := range files.Services {
		if now := current.Services[name]; now.Changed != base.Services[name].Changed && now.Service != service {
			return "service " + name
		}
	}
	for name, account := range files.Accounts {
		if now := current.Accounts[name]; now.Changed != base.Accounts[name].Changed && !reflect.DeepEqual(now.Account, account) {
			return "account " + name
		}
	}
	return ""
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
