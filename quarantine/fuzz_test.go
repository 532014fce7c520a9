package quarantine

import (
	"testing"
	"time"
)

// FuzzExchange sends arbitrary bytes of another host to a tracker, in both directions. No message may end
// the process, or use more memory than the limits allow.
func FuzzExchange(f *testing.F) {
	sender := newTestTracker()
	begin(sender, 1, 0, whole, firstPart, poison)
	waiting(sender, 2, time.Second, whole, otherPart)
	f.Add(sender.Request("collector", trackerStart.Add(time.Second)))
	begin(sender, 3, 2*time.Second, whole+1, poison)
	for i := range 3 {
		lose(sender, uint64(i), time.Duration(i)*time.Second, whole+2, otherPart)
	}
	sender.Answered([]Key{firstPart}, trackerStart.Add(3*time.Second))
	f.Add(sender.Request("collector", trackerStart.Add(3*time.Second)))
	f.Add(sender.Answer(nil, trackerStart))
	f.Fuzz(func(t *testing.T, data []byte) {
		tr, now := newTestTracker(), trackerStart.Add(time.Minute)
		for range 2 {
			tr.Answer(data, now)
			tr.Receive("collector", data, now)
			now = now.Add(time.Second)
		}
		tr.Refused([]Key{whole, firstPart, poison}, now)
		if len(tr.crashes) > maxCrashes || len(tr.sets) > maxSets || len(tr.log.records) > maxRecords || len(tr.losses.generations[0]) > maxLostKeys {
			t.Errorf("%d crashes, %d sets and %d records, want at most %d, %d and %d", len(tr.crashes), len(tr.sets), len(tr.log.records), maxCrashes, maxSets, maxRecords)
		}
	})
}
