package metrics

import (
	"expvar"
	"runtime"
	"syscall"
	"time"
)

// Process is the use of the machine's resources by this process.
type Process struct {
	// CPUSeconds is the processor time used since the process started.
	CPUSeconds float64 `json:"cpu_seconds"`
	// HeapBytes is the memory of heap objects that are reachable or not yet collected.
	HeapBytes uint64 `json:"heap_bytes"`
	// StackBytes is the memory in use for goroutine stacks.
	StackBytes uint64 `json:"stack_bytes"`
	// MaxResidentBytes is the largest resident size since the process started.
	MaxResidentBytes uint64 `json:"max_resident_bytes"`
	Goroutines       int    `json:"goroutines"`
}

// bytesPerKiB converts the maximum resident size, which the kernel reports in KiB, to bytes.
const bytesPerKiB = 1 << 10

func init() {
	expvar.Publish("cardamompier_process", expvar.Func(func() any { return ReadProcess() }))
}

// ReadProcess returns the current resource use of the process.
func ReadProcess() Process {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return Process{
		CPUSeconds: cpu.Seconds(), HeapBytes: memory.HeapAlloc, StackBytes: memory.StackInuse,
		MaxResidentBytes: uint64(usage.Maxrss) * bytesPerKiB, Goroutines: runtime.NumGoroutine(),
	}
}
