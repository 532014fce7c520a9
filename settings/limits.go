package settings

const (
	// defaultCallerMemoryShare leaves three quarters of the process's memory for garbage that is not yet collected,
	// the system's own state and the program.
	defaultCallerMemoryShare = 0.25
	// defaultMemoryMB is the memory of the smallest hosts, in MiB. Limits for callers apply also where no memory is set.
	defaultMemoryMB = 160
	// minCallerBytes is the least memory for callers, so that a request with the largest body that is accepted by
	// default, 8 MiB, fits in the part that is not reserved for small ones.
	minCallerBytes = 12 << 20
	// minDescriptors is the least number of descriptors with which a host can serve.
	minDescriptors      = 64
	expectedDescriptors = "a whole number from 64 on"
)

// CallerBytes returns the memory that callers may hold, in bytes.
func (s Forwarding) CallerBytes() int64 { return callerBytes(s.MemoryMB, s.CallerMemoryShare) }

// CallerBytes returns the memory that callers may hold, in bytes.
func (s Settings) CallerBytes() int64 { return callerBytes(s.MemoryMB, defaultCallerMemoryShare) }

func callerBytes(memoryMB int64, share float64) int64 {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	if share == 0 {
		share = defaultCallerMemoryShare
	}
	return max(int64(share*float64(memoryMB<<20)), minCallerBytes)
}

// invalidLimit returns the first invalid setting of the process's resources and of its limits for callers, and what was
// expected; an empty field if all are valid.
func (s Forwarding) invalidLimit() (field, expected string) {
	switch {
	case s.MemoryMB < 0:
		return "memory_mb", expectedPositive
	case s.CallerMemoryShare != 0 && (s.CallerMemoryShare < 0.05 || s.CallerMemoryShare > 0.5):
		return "caller_memory_share", "a number from 0.05 to 0.5"
	case s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors:
		return "max_descriptors", expectedDescriptors
	case s.CallerSilenceSeconds < 0:
		return "caller_silence_seconds", expectedPositive
	case s.Cores < 0:
		return "cores", expectedPositive
	case s.LinkMbps < 0:
		return "link_mbps", expectedPositive
	}
	return "", ""
}
