package config

import (
	"reflect"
	"sort"
	"strings"
)

// ItemKind is the kind of a configuration item.
type ItemKind string

// ItemService and ItemAccount are the kinds of configuration items.
const (
	ItemService ItemKind = "service"
	ItemAccount ItemKind = "account"
)

// Item identifies one service or client account.
type Item struct {
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
}

// String returns the item's kind and name, for example "service/badges".
func (i Item) String() string { return string(i.Kind) + "/" + i.Name }

// ItemError reports text that is neither "service/NAME" nor "account/NAME".
type ItemError struct{ Text string }

// Error implements error.
func (e *ItemError) Error() string {
	return "item " + e.Text + ": expected service/NAME or account/NAME"
}

// ParseItem parses "service/NAME" or "account/NAME". Its error is an *ItemError.
func ParseItem(text string) (Item, error) {
	kind, name, found := strings.Cut(text, "/")
	item := Item{Kind: ItemKind(kind), Name: name}
	if !found || (item.Kind != ItemService && item.Kind != ItemAccount) || !namePattern.MatchString(name) {
		return Item{}, &ItemError{Text: text}
	}
	return item, nil
}

// Change is the set of services and client accounts that a publish sets or
// removes. All others remain unchanged.
type Change struct {
	Files  Files
	Remove []Item
}

// Difference is one item that differs between two documents. Old is nil when the
// item is absent from the first document, New when it is absent from the second.
type Difference struct {
	Item Item `json:"item"`
	Old  any  `json:"old,omitempty"`
	New  any  `json:"new,omitempty"`
}

// itemChange sets one item to a new content. A nil content removes the item.
type itemChange struct {
	item    Item
	content any
}

// itemChanges returns one itemChange per item of c, sorted by kind and name.
func (c Change) itemChanges() []itemChange {
	var out []itemChange
	for name, service := range c.Files.Services {
		out = append(out, itemChange{item: Item{Kind: ItemService, Name: name}, content: service})
	}
	for name, account := range c.Files.Accounts {
		out = append(out, itemChange{item: Item{Kind: ItemAccount, Name: name}, content: account})
	}
	for _, item := range c.Remove {
		out = append(out, itemChange{item: item})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].item.String() < out[j].item.String() })
	return out
}

// content returns the content of an item, nil if the item is absent, and the
// revision that last changed or removed the item, zero if that is unknown.
func (d Document) content(item Item) (any, uint64) {
	switch item.Kind {
	case ItemService:
		if found, ok := d.Services[item.Name]; ok {
			return found.Service, found.Changed
		}
	case ItemAccount:
		if found, ok := d.Accounts[item.Name]; ok {
			return found.Account, found.Changed
		}
	}
	return nil, d.Removed[item.String()]
}

// set applies the change of one item and records revision as its last change.
func (d *Document) set(s itemChange, revision uint64) {
	delete(d.Removed, s.item.String())
	switch content := s.content.(type) {
	case Service:
		d.Services[s.item.Name] = ServiceItem{Service: content, Changed: revision}
	case Account:
		d.Accounts[s.item.Name] = AccountItem{Account: content, Changed: revision}
	default:
		d.remove(s.item, revision)
	}
}

func (d *Document) remove(item Item, revision uint64) {
	if item.Kind == ItemService {
		delete(d.Services, item.Name)
	} else {
		delete(d.Accounts, item.Name)
	}
	d.Removed[item.String()] = revision
	for name, at := range d.Removed {
		if at+maxRecentRevisions < revision {
			delete(d.Removed, name)
		}
	}
}

// merge returns a copy of doc with the change applied, and whether it differs
// from doc.
func merge(doc Document, change Change) (Document, bool) {
	next, changed := doc.clone(), false
	for _, s := range change.itemChanges() {
		if old, _ := doc.content(s.item); !reflect.DeepEqual(old, s.content) {
			next.set(s, doc.Revision+1)
			changed = true
		}
	}
	return next, changed
}

// conflictOf returns a conflict error for the first item of a change that another
// publish set, between base and current, to a value other than the change's own.
// It returns nil without such an item.
func conflictOf(base, current Document, change Change) *PublishError {
	for _, s := range change.itemChanges() {
		_, before := base.content(s.item)
		now, after := current.content(s.item)
		if before != after && !reflect.DeepEqual(now, s.content) {
			return &PublishError{Reason: PublishConflict, Item: s.item, Base: before, Current: after}
		}
	}
	return nil
}

// Diff returns the items that differ between two documents, sorted by kind and name.
func Diff(old, updated Document) []Difference {
	var out []Difference
	for _, item := range itemsOf(old, updated) {
		before, _ := old.content(item)
		after, _ := updated.content(item)
		if !reflect.DeepEqual(before, after) {
			out = append(out, Difference{Item: item, Old: before, New: after})
		}
	}
	return out
}

// Preview returns the differences that a change would cause in doc.
func Preview(doc Document, change Change) []Difference {
	next, _ := merge(doc, change)
	return Diff(doc, next)
}

// changeBetween returns the change that turns the items of from into those of to.
func changeBetween(from, to Document) Change {
	change := Change{Files: Files{Services: map[string]Service{}, Accounts: map[string]Account{}}}
	for _, difference := range Diff(from, to) {
		switch content := difference.New.(type) {
		case Service:
			change.Files.Services[content.Name] = content
		case Account:
			change.Files.Accounts[content.Name] = content
		default:
			change.Remove = append(change.Remove, difference.Item)
		}
	}
	return change
}

// itemsOf returns the items of all documents without duplicates, sorted by kind
// and name.
func itemsOf(docs ...Document) []Item {
	seen := map[Item]struct{}{}
	for _, doc := range docs {
		for name := range doc.Services {
			seen[Item{Kind: ItemService, Name: name}] = struct{}{}
		}
		for name := range doc.Accounts {
			seen[Item{Kind: ItemAccount, Name: name}] = struct{}{}
		}
	}
	out := make([]Item, 0, len(seen))
	for item := range seen {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}
