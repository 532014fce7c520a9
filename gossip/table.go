package gossip

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is a named value with a version.
type Item struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
	// Owner is the only host that writes the name. Other hosts remove the item when the owner is
	// dead. Owner is empty for an item that outlives the host that wrote it.
	Owner string `cbor:"4,keyasint,omitempty"`
}

// stored is an item with the local time at which it was stored.
type stored struct {
	Item
	storedAt time.Time
}

// subscriber is a function that is called for new versions of one name or of all names under a prefix.
type subscriber struct {
	name   string
	prefix bool // name is a prefix
	notify func(Item)
}

func (s *subscriber) matches(name string) bool {
	return name == s.name || (s.prefix && strings.HasPrefix(name, s.name))
}

// Table stores the newest known version of each named item. Use NewTable. Its methods may be called
// concurrently.
type Table struct {
	self string // this host, the owner of the items that SetOwned stores

	mu            sync.Mutex
	items         map[string]stored
	droppedOwners map[string]bool // owners whose items are rejected
	subscribers   []*subscriber
	onNew         func(item Item, from string)
	filter        func(Item) bool
	// pending holds the outstanding calls of subscribers; one goroutine at a time makes them, in
	// order.
	pending   []func()
	notifying bool
}

// NewTable returns an empty table for the host self, which owns the items that SetOwned stores.
func NewTable(self string) *Table {
	return &Table{self: self, items: map[string]stored{}, droppedOwners: map[string]bool{}}
}

// Set stores a value without an owner and replicates it to other hosts; the value outlives this host.
// It reports whether the item was stored, which requires a version newer than the known one. The
// value is not copied and must not be changed afterwards.
func (t *Table) Set(name string, version uint64, value []byte) bool {
	return t.put(Item{Name: name, Version: version, Value: value}, "")
}

// SetOwned is like Set for a name that only this host writes, for example "load/<host>". Other hosts
// remove the item when this host is dead.
func (t *Table) SetOwned(name string, version uint64, value []byte) bool {
	return t.put(Item{Name: name, Version: version, Value: value, Owner: t.self}, "")
}

// Get returns the newest known version of a name; ok is false if the table has no such name.
func (t *Table) Get(name string) (version uint64, value []byte, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	item, ok := t.items[name]
	return item.Version, item.Value, ok
}

// List returns the items whose names start with prefix, sorted by name.
func (t *Table) List(prefix string) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Item
	for name, item := range t.items {
		if strings.HasPrefix(name, prefix) {
			out = append(out, item.Item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Subscribe registers notify to be called with the known version of a name, if there is one, and with
// each newer one. Calls are made one at a time in the order of the versions. The function must not
// block; it may use the table.
func (t *Table) Subscribe(name string, notify func(version uint64, value []byte)) {
	t.subscribe(&subscriber{name: name, notify: func(item Item) { notify(item.Version, item.Value) }})
}

// SubscribePrefix is like Subscribe for all names that start with prefix.
func (t *Table) SubscribePrefix(prefix string, notify func(Item)) {
	t.subscribe(&subscriber{name: prefix, prefix: true, notify: notify})
}

func (t *Table) subscribe(s *subscriber) {
	t.mu.Lock()
	t.subscribers = append(t.subscribers, s)
	for name, item := range t.items {
		if s.matches(name) {
			t.pending = append(t.pending, func() { s.notify(item.Item) })
		}
	}
	t.notify()
}

// notify makes the pending calls of subscribers, unless another goroutine is already making them. The
// caller must hold t.mu; notify unlocks it.
func (t *Table) notify() {
	if t.notifying {
		t.mu.Unlock()
		return
	}
	t.notifying = true
	for len(t.pending) > 0 {
		calls := t.pending
		t.pending = nil
		t.mu.Unlock()
		for _, call := range calls {
			call()
		}
		t.mu.Lock()
	}
	t.notifying = false
	t.mu.Unlock()
}

// DropOwner removes all items of a dead owner and rejects new ones until AllowOwner is called.
func (t *Table) DropOwner(owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.droppedOwners[owner] = true
	for name, item := range t.items {
		if item.Owner == owner {
			delete(t.items, name)
		}
	}
}

// AllowOwner accepts items of an owner again after DropOwner.
func (t *Table) AllowOwner(owner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.droppedOwners, owner)
}

// Filter sets a function that is called with each item before it is stored and returns false to reject
// the item. The function must not use the table. Filter must be called before the table is used.
func (t *Table) Filter(accepts func(Item) bool) { t.filter = accepts }

// Remove deletes a name on this host only, for example after its retention period.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.items, name)
}

// put stores an item if it is newer than the known version, and reports whether it did. The item is
// rejected if the filter refuses it or if its owner was dropped. The parameter from is the address
// of the host that sent the item; it is empty for an item of this host.
func (t *Table) put(item Item, from string) bool {
	if t.filter != nil && !t.filter(item) {
		return false
	}
	t.mu.Lock()
	known, ok := t.items[item.Name]
	if (ok && item.Version <= known.Version) || t.droppedOwners[item.Owner] {
		t.mu.Unlock()
		return false
	}
	t.items[item.Name] = stored{Item: item, storedAt: time.Now()}
	if t.onNew != nil {
		t.onNew(item, from)
	}
	for _, s := range t.subscribers {
		if s.matches(item.Name) {
			t.pending = append(t.pending, func() { s.notify(item) })
		}
	}
	t.notify()
	return true
}

// needs reports whether the announced version is newer than the known one and its owner is allowed.
func (t *Table) needs(d digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.items[d.Name]
	return (!ok || d.Version > known.Version) && !t.droppedOwners[d.Owner]
}
