package config

import (
	"reflect"
	"sort"
	"strings"
)

// ItemKind is a kind of item in the configuration.
type ItemKind string

// The kinds of items.
const (
	ItemService ItemKind = "service"
	ItemAccount ItemKind = "account"
)

// Item names one service or client account.
type Item struct {
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
}

// String returns the item as operators write it, for example "service/badges".
func (i Item) String() string { return string(i.Kind) + "/" + i.Name }

// ItemError is an item that was not written as "service/NAME" or "account/NAME".
type ItemError struct{ Text string }

// Error implements error.
func (e *ItemError) Error() string {
	return "item " + e.Text + ": expected service/NAME or account/NAME"
}

// ParseItem parses "service/NAME" or "account/NAME". It returns *ItemError.
func ParseItem(text string) (Item, error) {
	kind, name, found := strings.Cut(text, "/")
	item := Item{Kind: ItemKind(kind), Name: name}
	if !found || (item.Kind != ItemService && item.Kind != ItemAccount) || !namePattern.MatchString(name) {
		return Item{}, &ItemError{Text: text}
	}
	return item, nil
}

// Change is what a publish sets and removes. Items that it does not name stay.
type Change struct {
	Files  Files
	Remove []Item
}

// Difference is one item that differs between two documents. A nil Old or New
// means that the item is absent there.
type Difference struct {
	Item Item `json:"item"`
	Old  any  `json:"old,omitempty"`
	New  any  `json:"new,omitempty"`
}

// step is one item of a change; a nil content removes it.
type step struct {
	item    Item
	content any
}

// steps returns the change item by item, in order.
func (c Change) steps() []step {
	var out []step
	for name, service := range c.Files.Services {
		out = append(out, step{item: Item{Kind: ItemService, Name: name}, content: service})
	}
	for name, account := range c.Files.Accounts {
		out = append(out, step{item: Item{Kind: ItemAccount, Name: name}, content: account})
	}
	for _, item := range c.Remove {
		out = append(out, step{item: item})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].item.String() < out[j].item.String() })
	return out
}

// content returns an item, nil when it is absent, and the revision that last
// changed or removed it; zero when that is not known.
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

// set puts or removes an item as of a revision.
func (d *Document) set(s step, revision uint64) {
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
		if at+maxMarks < revision {
			delete(d.Removed, name)
		}
	}
}

// merge lays a change over doc and returns whether anything differs.
func merge(doc Document, change Change) (Document, bool) {
	next, changed := doc.clone(), false
	for _, s := range change.steps() {
		if old, _ := doc.content(s.item); !reflect.DeepEqual(old, s.content) {
			next.set(s, doc.Revision+1)
			changed = true
		}
	}
	return next, changed
}

// clashOf returns the first item of a change that another publish changed
// between two documents to something else than the change wants, or nil.
func clashOf(base, current Document, change Change) *PublishError {
	for _, s := range change.steps() {
		_, before := base.content(s.item)
		now, after := current.content(s.item)
		if before != after && !reflect.DeepEqual(now, s.content) {
			return &PublishError{Reason: PublishConflict, Item: s.item, Base: before, Current: after}
		}
	}
	return nil
}

// Diff returns the items that differ between two documents, in order.
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

// Preview returns what a change would alter in doc.
func Preview(doc Document, change Change) []Difference {
	next, _ := merge(doc, change)
	return Diff(doc, next)
}

// changeTo returns the change that turns one document's items into another's.
func changeTo(from, to Document) Change {
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

// itemsOf returns the items of all documents, each once, in order.
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
