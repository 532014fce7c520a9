package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// recordKind is the kind of a record.
type recordKind uint8

const (
	recordCrash  recordKind = 1 // a report of a crash
	recordAnswer recordKind = 2 // the newest answer to a suspected key
	recordSet    recordKind = 3 // a quarantined set
	recordLoss   recordKind = 4 // a report of a lost attempt
)

const (
	// localSource is the source of records of this host.
	localSource = 0
	// maxRecords limits the records that are kept for hosts that have not read them yet.
	maxRecords = 512
	// maxLossRecords limits those of lost attempts, so that they do not displace the others.
	maxLossRecords = 256
	// maxPeers limits the hosts whose read positions are kept.
	maxPeers = 8
	// peerTimeout is how long after the last message of another host this host counts as
	// connected.
	peerTimeout = 1500 * time.Millisecond
)

// logRecord is one piece of evidence in the order in which this host learned it.
type logRecord struct {
	kind    recordKind
	crash   Crash     // for recordAnswer and recordSet only its At and Keys
	crashes int       // for recordSet
	lost    bool      // for recordSet: Set.Lost
	sudden  bool      // for recordSet: Set.Sudden
	since   time.Time // for recordSet: Set.Since
	number  uint64    // position in the log
	source  uint64    // epoch of the host from which it was received
}

// recordLog is the bounded sequence of the records that this host knows.
type recordLog struct {
	epoch   uint64 // identifies this run of the process
	last    uint64 // number of the newest record
	records []logRecord
}

func newRecordLog() recordLog { return recordLog{epoch: rand.Uint64() | 1} }

func (l *recordLog) append(r logRecord, source uint64) {
	l.last++
	r.number, r.source = l.last, source
	if isLoss := func(known logRecord) bool { return known.kind == recordLoss }; isLoss(r) && lo.CountBy(l.records, isLoss) >= maxLossRecords {
		oldest := slices.IndexFunc(l.records, isLoss)
		l.records = slices.Delete(l.records, oldest, oldest+1)
	}
	l.records = append(l.records, r)
	if len(l.records) > maxRecords {
		l.records = slices.Clone(l.records[len(l.records)-maxRecords:])
	}
}

// after returns the records behind a position that were not received from the host with
// the given epoch.
func (l *recordLog) after(number, epoch uint64, now time.Time) []wireRecord {
	var out []wireRecord
	for _, r := range l.records {
		if r.number > number && (epoch == 0 || r.source != epoch) && now.Sub(r.crash.At) < Expiry {
			out = append(out, encodeRecord(r, now))
		}
	}
	return out
}

// wireRecord is a record in a message. It states its age, because the clocks of hosts
// differ.
type wireRecord struct {
	Kind     recordKind `cbor:"1,keyasint"`
	AgeMS    int64      `cbor:"2,keyasint,omitempty"`
	Keys     []Key      `cbor:"3,keyasint"`
	Upstream uint64     `cbor:"4,keyasint,omitempty"`
	Account  uint64     `cbor:"5,keyasint,omitempty"`
	Begun    bool       `cbor:"6,keyasint,omitempty"`
	Crashes  int        `cbor:"7,keyasint,omitempty"`
	Lost     bool       `cbor:"8,keyasint,omitempty"`
	// SinceMS is the age of Set.Since.
	SinceMS int64 `cbor:"9,keyasint,omitempty"`
	// Repeats is Crash.repeats.
	Repeats uint32 `cbor:"10,keyasint,omitempty"`
	Sudden  bool   `cbor:"11,keyasint,omitempty"`
}

func encodeRecord(r logRecord, now time.Time) wireRecord {
	w := wireRecord{
		Kind: r.kind, AgeMS: now.Sub(r.crash.At).Milliseconds(), Keys: r.crash.Keys, Upstream: r.crash.Upstream,
		Account: r.crash.Account, Begun: r.crash.Begun, Crashes: r.crashes, Lost: r.lost,
		Repeats: r.crash.repeats, Sudden: r.sudden,
	}
	if r.lost || r.sudden {
		w.SinceMS = now.Sub(r.since).Milliseconds()
	}
	return w
}

// message is what two hosts send each other: a host its new records, and the position up to
// which it has read the records of the other.
type message struct {
	// Epoch identifies the run of the sender's process.
	Epoch uint64 `cbor:"1,keyasint"`
	// ReadEpoch and Read are the epoch of the receiver that the sender knows, and the
	// number of the newest record that it has received from it. Requests only.
	ReadEpoch uint64 `cbor:"2,keyasint,omitempty"`
	Read      uint64 `cbor:"3,keyasint,omitempty"`
	// Last is the number of the sender's newest record. Answers only.
	Last uint64 `cbor:"4,keyasint,omitempty"`
	// Loaded reports that the sender has read the sets in the key-value service.
	Loaded  bool         `cbor:"5,keyasint,omitempty"`
	Records []wireRecord `cbor:"6,keyasint,omitempty"`
}

// peer is how far this host and another one have read each other's records.
type peer struct {
	epoch   uint64
	read    uint64 // number of the peer's newest record that this host has
	sent    uint64 // number of this host's newest record that the peer has
	sending uint64 // number of the newest record in the request under way
	usedAt  time.Time
}

// Request returns the message for a host that collects evidence: this host's new records.
func (t *Tracker) Request(host string, now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(host, now)
	p.sending = t.log.last
	return encodeMessage(message{
		Epoch: t.log.epoch, ReadEpoch: p.epoch, Read: p.read, Records: t.log.after(p.sent, p.epoch, now),
	})
}

// Answer merges the request of another host and returns the records that the other host
// does not have.
func (t *Tracker) Answer(request []byte, now time.Time) []byte {
	var m message
	if cbor.Unmarshal(request, &m) != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerSeenAt, t.collectedAt = now, now
	t.receive(m.Records, m.Epoch, now)
	read := m.Read
	if m.ReadEpoch != t.log.epoch {
		read = 0
	}
	return encodeMessage(message{
		Epoch: t.log.epoch, Last: t.log.last, Loaded: t.loaded, Records: t.log.after(read, m.Epoch, now),
	})
}

// Receive merges the answer of the host to which a request was sent.
func (t *Tracker) Receive(host string, answer []byte, now time.Time) {
	var m message
	if cbor.Unmarshal(answer, &m) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerSeenAt = now
	t.loaded = t.loaded || m.Loaded
	p := t.peer(host, now)
	if p.epoch != 0 && p.epoch != m.Epoch { // the host has restarted without the records that were sent before
		p.sending = 0
	}
	p.epoch, p.read, p.sent = m.Epoch, m.Last, p.sending
	t.receive(m.Records, m.Epoch, now)
}

// peer returns the state of the exchange with a host. The caller holds t.mu.
func (t *Tracker) peer(host string, now time.Time) *peer {
	p := t.peers[host]
	if p == nil {
		if len(t.peers) >= maxPeers {
			oldest := lo.MinBy(lo.Keys(t.peers), func(a, b string) bool { return t.peers[a].usedAt.Before(t.peers[b].usedAt) })
			delete(t.peers, oldest)
		}
		p = &peer{}
		t.peers[host] = p
	}
	p.usedAt = now
	return p
}

// receive merges records of another host. The caller holds t.mu.
func (t *Tracker) receive(records []wireRecord, epoch uint64, now time.Time) {
	for _, r := range records {
		at := now.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond)
		if len(r.Keys) == 0 || len(r.Keys) > MaxKeys || now.Sub(at) >= Expiry {
			continue
		}
		switch r.Kind {
		case recordCrash:
			t.add(Crash{Upstream: r.Upstream, At: at, Account: r.Account, Begun: r.Begun, Keys: r.Keys, repeats: r.Repeats, seenAt: now}, epoch)
		case recordLoss:
			t.addLoss(Crash{Upstream: r.Upstream, At: at, Account: r.Account, Keys: r.Keys, repeats: r.Repeats, seenAt: now}, epoch)
		case recordAnswer:
			t.clear(r.Keys[0], at, epoch)
		case recordSet:
			keys := slices.Clone(r.Keys)
			slices.Sort(keys)
			since := now.Add(-time.Duration(max(r.SinceMS, 0)) * time.Millisecond)
			t.imposeLive(Set{Keys: keys, Crashes: r.Crashes, At: at, Lost: r.Lost, Sudden: r.Sudden, Since: since}, epoch)
		}
	}
}

// imposeLive quarantines a set of another host without the keys that were answered since.
// The caller holds t.mu.
func (t *Tracker) imposeLive(set Set, epoch uint64) {
	refuted := set.At
	if set.Lost { // an answer between the losses refutes those before it
		refuted = set.Since
	}
	set.Keys = lo.Reject(set.Keys, func(k Key, _ int) bool { return t.lastAnswer(k).After(refuted) })
	if len(set.Keys) == 0 {
		return
	}
	t.impose(set, ChangeReceived, epoch)
	if set.Sudden {
		for _, key := range set.Keys {
			t.announce(key) // the answer may refute the set at other hosts
		}
		t.refuteSudden()
	}
}

// Connected reports whether this host has exchanged evidence with another host recently.
func (t *Tracker) Connected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.peerSeenAt) < peerTimeout
}

// Collects reports whether other hosts have sent this host their evidence recently.
func (t *Tracker) Collects(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.collectedAt) < peerTimeout
}

func encodeMessage(m message) []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil { // the type of m has no value that cannot be encoded
		return nil
	}
	return encoded
}
