package soak

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

const (
	configKey = "op/config"
	// writePause is the operator's pause before it repeats a write that was not confirmed.
	writePause = 50 * time.Millisecond
	// probePause is the pause between two probes of one host.
	probePause = 40 * time.Millisecond
	// rollbackSlack is the time after an effect of a version from which a host may not handle requests by older ones,
	// and disturbedSlack the same for a host that was disturbed.
	rollbackSlack, disturbedSlack = 500 * time.Millisecond, 4 * time.Second
	// probedVersions is how many of the newest versions are probed.
	probedVersions = 4
)

// versionWrite is a configuration that the operator writes.
type versionWrite struct {
	version uint64
	value   []byte
	// confirmedAt is when the store first confirmed it; zero before.
	confirmedAt time.Time
}

// operator writes configurations and remembers them.
type operator struct {
	writing sync.Mutex // held during a write

	mu     sync.Mutex
	writes []versionWrite // in order of their versions
}

// write writes the next version, until the store confirms it or a newer one. It returns the version.
func (o *operator) write(store kv.Store, valueOf func(version uint64) []byte) uint64 {
	o.mu.Lock()
	version := uint64(len(o.writes) + 1)
	o.writes = append(o.writes, versionWrite{version: version, value: valueOf(version)})
	o.mu.Unlock()
	o.rewrite(store)
	return version
}

// rewrite writes the newest version, also where it was confirmed before, until the store confirms it.
func (o *operator) rewrite(store kv.Store) {
	o.writing.Lock()
	defer o.writing.Unlock()
	for {
		all := o.versions()
		newest := all[len(all)-1]
		e, err := store.Get(context.Background(), configKey)
		done := err == nil && bytes.Equal(e.Value, newest.value)
		if reason := kv.ReasonOf(err); !done && (err == nil || reason == kv.ReasonNotFound) {
			_, err = store.CompareAndSwap(context.Background(), kv.Write{Key: configKey, Value: newest.value, Expect: e.Version})
			done = err == nil
		}
		if done {
			o.confirm(newest.version)
			return
		}
		time.Sleep(writePause)
	}
}

// confirm records the first confirmation of a version.
func (o *operator) confirm(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.writes {
		if o.writes[i].version == version && o.writes[i].confirmedAt.IsZero() {
			o.writes[i].confirmedAt = time.Now()
		}
	}
}

// versions returns all versions in order, also one that is not confirmed yet.
func (o *operator) versions() []versionWrite {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]versionWrite{}, o.writes...)
}

// writeInvalid overwrites the configuration with a value that is newer and not valid.
func (o *operator) writeInvalid(store *kvmem.Store, value []byte) {
	o.writing.Lock()
	defer o.writing.Unlock()
	if e, err := store.Get(context.Background(), configKey); err == nil {
		_, _ = store.CompareAndSwap(context.Background(), kv.Write{Key: configKey, Value: value, Expect: e.Version})
	}
}

// addedRoute is the kind of requests for the route that only one version has.
func addedRoute(version uint64) kind {
	return kind{name: "added route", method: http.MethodGet, prefix: newPrefix(version), idempotent: true, oneVersion: true}
}

// effect is the newest version by which a host's process has handled a request.
type effect struct {
	start   int64
	version uint64
	at      time.Time
}

// probeVersions asks a host for the routes of the newest versions in turn, until ctx ends, and checks by which versions
// it handles them.
func (d *deployment) probeVersions(ctx context.Context, h *host) {
	client := newClient()
	defer client.CloseIdleConnections()
	var seen effect
	for i := 0; ctx.Err() == nil; i++ {
		all := d.operator.versions()
		probed := all[max(0, len(all)-1-i%probedVersions)]
		start, sentAt := h.starts.Load(), time.Now()
		outcome := d.call(context.WithoutCancel(ctx), client, h.listen, addedRoute(probed.version))
		if h.starts.Load() == start {
			if seen.start != start {
				seen = effect{start: start}
			}
			d.checkProbe(h, &seen, probed.version, sentAt, outcome)
		}
		time.Sleep(probePause)
	}
}

// checkProbe checks the outcome of a request for the route of a version.
func (d *deployment) checkProbe(h *host, seen *effect, version uint64, sentAt time.Time, outcome string) {
	all := d.operator.versions()
	slack := rollbackSlack
	if h.disturbedAt.Load() > sentAt.Add(-disturbedSlack).UnixNano() {
		slack = disturbedSlack
	}
	goesBack := seen.version != 0 && sentAt.Sub(seen.at) > slack
	switch outcome {
	case "served":
		if goesBack && version < seen.version {
			d.log.violate("CONFIG, back: %s goes back: it serves the route of version %d %v after that of version %d", h.name, version, sentAt.Sub(seen.at), seen.version)
		}
		for _, w := range all {
			if w.version > version && d.mustApply(h, w, sentAt) {
				d.log.violate("CONFIG, old: %s serves the route of version %d %v after version %d was confirmed", h.name, version, sentAt.Sub(w.confirmedAt), w.version)
				break
			}
		}
		if version > seen.version {
			seen.version, seen.at = version, time.Now()
		}
	case "404":
		newest := all[len(all)-1]
		if version != newest.version {
			return
		}
		if goesBack && version == seen.version {
			d.log.violate("CONFIG, back: %s goes back: the route of version %d is gone %v after it was served", h.name, version, sentAt.Sub(seen.at))
		}
		if d.mustApply(h, newest, sentAt) {
			d.log.violate("CONFIG, new: %s has no route of version %d %v after its confirmation", h.name, version, sentAt.Sub(newest.confirmedAt))
		}
	}
}

// mustApply reports whether a host must handle a request by a version: it was confirmed long enough before, and neither
// the host nor the store was disturbed lately.
func (d *deployment) mustApply(h *host, w versionWrite, sentAt time.Time) bool {
	since := sentAt.Add(-contactSpan)
	return !w.confirmedAt.IsZero() && sentAt.Sub(w.confirmedAt) > applySpan &&
		h.disturbedAt.Load() <= since.UnixNano() && !h.store.disturbedSince(since) && d.drill.lastDisturbed() <= since.UnixNano()
}
