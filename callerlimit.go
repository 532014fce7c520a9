package cardamompier

import (
	"math"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cardamompier/cardamompier/callerconn"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/membudget"
)

// chatSilence is the time after which a caller of the chat front end is disconnected that sends nothing of its
// request's body, or reads nothing of its answer.
const chatSilence = 10 * time.Second

// newGuard returns the guard of a process's listeners and logs its limits.
func newGuard(o callerconn.Options) *callerconn.Guard {
	if o.Descriptors == 0 {
		o.Descriptors = descriptorLimit()
	}
	events.CallersLimits.Log(o.Logger, "memory_bytes", o.MemoryBytes, "descriptors", o.Descriptors, "silence_ms", o.Silence.Milliseconds())
	return callerconn.New(o)
}

// descriptorLimit returns the operating system's limit of open descriptors of this process.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// headBytes returns the size limit of the heads of callers' requests, by the route table in force.
func (f *ForwardServer) headBytes() int64 {
	if table := f.table.Load(); table != nil && table.Limits.HeaderBytes > 0 {
		return min(table.Limits.HeaderBytes, maxCallerHeaderBytes)
	}
	return maxCallerHeaderBytes
}

// limitMemory sets the soft limit of the garbage collector for a process with that much memory; 0 for no limit.
func limitMemory(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * memoryLimitShare))
	}
}

// guardChat creates the guard of the chat front end's listeners and attaches its servers.
func (s *Server) guardChat() {
	s.guard = newGuard(callerconn.Options{
		MemoryBytes: s.settings.CallerBytes(), Descriptors: s.settings.MaxDescriptors, Silence: chatSilence,
		HeadBytes: func() int64 { return maxCallerHeaderBytes }, Logger: s.logger.Named("callers"),
	})
	s.callers.Handler = chargeBodies(s.callers.Handler)
	s.guard.Attach(s.callers)
	s.guard.Attach(s.inner)
}

// chargeBodies wraps a handler that reads the bodies of requests into buffers of its own.
func chargeBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			r.Body = membudget.Charged(r.Body, membudget.FromContext(r.Context()))
		}
		handler.ServeHTTP(w, r)
	})
}
