package kv

import "strconv"

// eraShift is the number of bits of a Version that hold the service's own number. The bits
// above hold the era.
const eraShift = 40

// maxNumber is the largest number within an era.
const maxNumber = 1<<eraShift - 1

// MaxEra is the largest era that a Version can contain.
const MaxEra = 1<<(64-eraShift) - 1

// Era counts how often the service has come back from an older copy of itself. Each time, the service loses what it
// acknowledged after the copy, and gives out the same revisions and lease numbers again.
//
// Versions and lease IDs contain their era, so that those of different eras never compare as equal, and all versions of
// an era are greater than those of the eras before it: also the version of an entry that the copy has unchanged.
type Era uint64

// VersionOf returns the version for a revision of the service in an era.
func VersionOf(era Era, revision uint64) Version {
	return Version(uint64(era)<<eraShift | revision&maxNumber)
}

// Era returns the era in which the service gave out the version.
func (v Version) Era() Era { return Era(v >> eraShift) }

// Revision returns the service's own revision number.
func (v Version) Revision() uint64 { return uint64(v) & maxNumber }

const (
	// leaseEraShift is the number of bits of a LeaseID that hold the service's own number: all that a number in
	// JSON holds exactly. Services draw them at random.
	leaseEraShift = 53
	// MaxLeaseNumber is the largest number of a lease.
	MaxLeaseNumber = 1<<leaseEraShift - 1
	// leaseEras is the number of eras that lease IDs tell apart.
	leaseEras = 1 << (64 - leaseEraShift)
)

// LeaseIDOf returns the ID for the service's number of a lease in an era. The number zero means no lease in each era.
func LeaseIDOf(era Era, number uint64) LeaseID {
	if number == 0 {
		return 0
	}
	return LeaseID(uint64(era)<<leaseEraShift | number&MaxLeaseNumber)
}

// IsOf reports whether the service granted the lease in an era, or confirmed it last then. The ID holds the last bits of
// the era only.
func (id LeaseID) IsOf(era Era) bool { return uint64(id>>leaseEraShift) == uint64(era)%leaseEras }

// Number returns the service's own number of the lease.
func (id LeaseID) Number() uint64 { return uint64(id) & MaxLeaseNumber }

// EraError is the cause of an Error when an answer, or a condition of a call, is of another era than the present one.
type EraError struct {
	// Present is the newest era that the service has answered in.
	Present Era
}

// Error implements error.
func (e *EraError) Error() string {
	return "of another era than " + strconv.FormatUint(uint64(e.Present), 10) + ", the present one"
}
