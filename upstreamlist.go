package cardamompier

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/replica"
)

// decodedUpstream is the decoded record of an upstream, or its decoding error, with the store
// version of the record.
type decodedUpstream struct {
	version kv.Version
	host    hosts.Host
	err     error
	// startedMS is the start of the newest run that a record under the key has stated, also one that was removed within
	// removedSpan; zero if none has.
	startedMS int64
	// outdated is true if a newer run's record was lost when the key-value service came back from an older copy.
	outdated bool
}

// decode replaces d by the decoded entry. An upstream that has stated the start of its run states it in each record;
// one without is no run of its own.
func (d *decodedUpstream) decode(entry kv.Entry) {
	eraRisen := entry.Version.Era() > d.version.Era()
	d.version = entry.Version
	if d.host, d.err = platform.DecodeRunner(entry.Key, entry.Value); d.err != nil {
		return
	}
	if d.host.StartedMS == 0 && d.startedMS != 0 {
		d.err = platform.NoStart(entry.Key)
	}
	d.outdated = eraRisen && d.host.StartedMS < d.startedMS
	d.startedMS = max(d.startedMS, d.host.StartedMS)
}

// applyUpstreams installs the upstreams of a new store view. It decodes only the records that
// changed since the previous view.
func (f *ForwardServer) applyUpstreams(view *replica.View) {
	if f.removed == nil {
		f.removed = removedUpstreams{}
	}
	decoded := f.decodeUpstreams(view)
	f.removed.update(f.decoded, view, time.Now())
	list := make([]hosts.Host, 0, len(view.Entries))
	for key, d := range decoded {
		switch {
		case d.err != nil:
		case d.outdated:
			outdatedUpstreams.Inc(outdatedRun)
		case f.removed.has(view.Entries[key], d.host.StartedMS):
			outdatedUpstreams.Inc(outdatedRemoved)
		default:
			list = append(list, d.host)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decoded = decoded
	f.reading = hosts.Reading{Hosts: list, ReadAt: view.ReadAt, Revision: uint64(view.Revision), OutageEnded: view.OutageEnded}
	previous := f.upstreams.Load()
	f.installSnapshot(time.Now())
	events.ForwardHosts.Log(f.logger, "upstreams", len(list), "revision", uint64(view.Revision))
	f.logDepartures(f.upstreams.Load().DepartedSince(previous), view)
}

// decodeUpstreams returns the decoded records of a store view by key.
func (f *ForwardServer) decodeUpstreams(view *replica.View) map[string]decodedUpstream {
	decoded := make(map[string]decodedUpstream, len(view.Entries))
	for key, entry := range view.Entries {
		d, known := f.decoded[key]
		if !known {
			removed := f.removed[key]
			d.startedMS, d.version = removed.startedMS, kv.VersionOf(removed.era, 0)
		}
		if !known || d.version != entry.Version {
			if d.decode(entry); d.err != nil {
				events.ForwardHostBad.Log(f.logger, "revision", uint64(entry.Version), "error", d.err)
			}
		}
		decoded[key] = d
	}
	return decoded
}

// maxLoggedDepartures limits the log lines for one change of the list.
const maxLoggedDepartures = 32

// logDepartures logs which upstreams a view of the store shows as leaving or missing for the first time.
func (f *ForwardServer) logDepartures(departed []hosts.Departure, view *replica.View) {
	for _, d := range departed[:min(len(departed), maxLoggedDepartures)] {
		events.ForwardDeparted.Log(f.logger, "upstream", d.ID, "upstream_started_ms", d.StartedMS, "listed", d.Listed, "departed", len(departed),
			"revision", uint64(view.Revision), "source", view.Source)
	}
}

// listConfirmed returns when the key-value service last confirmed the list of upstreams; zero before the first one.
func (f *ForwardServer) listConfirmed() time.Time {
	if view := f.runners.Current(); view != nil {
		return view.ReadAt
	}
	return time.Time{}
}

// installSnapshot derives a snapshot of the upstreams at the time now from the newest
// reading, and puts it in force.
func (f *ForwardServer) installSnapshot(now time.Time) {
	f.upstreams.Store(f.listing.Next(f.reading, now))
}

// refreshUpstreams removes upstreams from the snapshot that were retained for a limited time
// after an outage of the store.
func (f *ForwardServer) refreshUpstreams(ctx context.Context) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	provisional := false
	for {
		select {
		case now := <-ticker.C:
			f.mu.Lock()
			wasProvisional := provisional
			provisional = f.reading.Provisional(now)
			if wasProvisional || provisional {
				f.installSnapshot(now)
			}
			f.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
