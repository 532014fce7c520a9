package config

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/kv"
)

// Key is the key-value service's key of the current configuration document.
const Key = "config/current"

// maxRecentRevisions bounds Document.Recent and the number of revisions in the history.
const maxRecentRevisions = 200

// Read returns the stored configuration document and its version in the store.
// The document is empty when none was published. The version is also valid
// when the error reports a corrupt document.
func Read(ctx context.Context, store kv.Store) (Document, kv.Version, error) {
	entry, err := store.Get(ctx, Key)
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		return emptyDocument(), 0, nil
	}
	if err != nil {
		return Document{}, 0, err
	}
	doc, err := Decode(entry.Value)
	return doc, entry.Version, err
}

func emptyDocument() Document {
	return Document{
		Services: map[string]ServiceItem{},
		Accounts: map[string]AccountItem{},
		Removed:  map[string]uint64{},
	}
}

// Decode decodes and validates a stored document. For an invalid document it
// returns a *PublishError with reason PublishCorrupt.
func Decode(data []byte) (Document, error) {
	doc := emptyDocument()
	if err := json.Unmarshal(data, &doc); err != nil {
		return Document{}, &PublishError{Reason: PublishCorrupt, Cause: err}
	}
	if invalid := doc.validate(); invalid != nil {
		return Document{}, &PublishError{Reason: PublishCorrupt, Cause: invalid}
	}
	return doc, nil
}

// validate returns the first reason why the document cannot be used, or nil.
func (d Document) validate() error {
	if d.Revision == 0 {
		return &FileError{File: Key, Field: "revision", Expected: "a positive number"}
	}
	for name, item := range d.Services {
		if item.Name != name {
			return &FileError{File: Key, Field: "services", Expected: "the name " + name + " in its item"}
		}
	}
	for name, item := range d.Accounts {
		if item.Name != name {
			return &FileError{File: Key, Field: "accounts", Expected: "the name " + name + " in its item"}
		}
		for _, digest := range item.KeyDigests {
			if !validDigest(digest) {
				return &FileError{File: Key, Field: "key_digests", Expected: expectedDigest}
			}
		}
	}
	return nil
}

// clone returns a copy of the document that can be modified without changing d.
func (d Document) clone() Document {
	d.Services, d.Accounts, d.Removed = maps.Clone(d.Services), maps.Clone(d.Accounts), maps.Clone(d.Removed)
	d.Recent = append([]RevisionMark{}, d.Recent...)
	return d
}

// markOf returns the mark (number and writer) of a revision, and whether the
// revision is recent enough for the document to contain its mark.
func (d Document) markOf(revision uint64) (RevisionMark, bool) {
	return lo.Find(d.Recent, func(mark RevisionMark) bool { return mark.Revision == revision })
}

// setRevision sets the document's revision, writer, nonce and time from mark,
// and appends mark to Recent.
func (d *Document) setRevision(mark RevisionMark) {
	d.Revision, d.Writer, d.Nonce, d.PublishedAt = mark.Revision, mark.Writer, mark.Nonce, mark.PublishedAt
	d.Recent = append(d.Recent, mark)
	if len(d.Recent) > maxRecentRevisions {
		d.Recent = d.Recent[len(d.Recent)-maxRecentRevisions:]
	}
}
