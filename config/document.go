package config

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/kv"
)

// Key is where the configuration is stored.
const Key = "config/current"

// maxMarks bounds Document.Recent, and the revisions kept for History.
const maxMarks = 200

// Read returns the stored configuration; an empty document when none was
// published. The version is also returned with an error that says that the
// document is corrupt.
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

// Decode decodes and checks a stored document. It returns *PublishError with
// PublishCorrupt.
func Decode(data []byte) (Document, error) {
	doc := emptyDocument()
	if err := json.Unmarshal(data, &doc); err != nil {
		return Document{}, &PublishError{Reason: PublishCorrupt, Cause: err}
	}
	if fault := doc.fault(); fault != nil {
		return Document{}, &PublishError{Reason: PublishCorrupt, Cause: fault}
	}
	return doc, nil
}

// fault returns why the document cannot be put in force, or nil.
func (d Document) fault() error {
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

// clone returns a copy whose maps can be changed.
func (d Document) clone() Document {
	d.Services, d.Accounts, d.Removed = maps.Clone(d.Services), maps.Clone(d.Accounts), maps.Clone(d.Removed)
	d.Recent = append([]Mark{}, d.Recent...)
	return d
}

// markOf returns the mark of a revision, when it is recent enough to be kept.
func (d Document) markOf(revision uint64) (Mark, bool) {
	return lo.Find(d.Recent, func(mark Mark) bool { return mark.Revision == revision })
}

// sign makes the document the next revision, written by mark's writer.
func (d *Document) sign(mark Mark) {
	d.Revision, d.Writer, d.Nonce, d.PublishedAt = mark.Revision, mark.Writer, mark.Nonce, mark.PublishedAt
	d.Recent = append(d.Recent, mark)
	if len(d.Recent) > maxMarks {
		d.Recent = d.Recent[len(d.Recent)-maxMarks:]
	}
}
