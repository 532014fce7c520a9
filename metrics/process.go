package metrics

import (
	"expvar"
	"runtime"
	"syscall"
	"time"
)

// Process is what the process says of its own use of the machine.
type Process struct {
	// CPUSeconds is the processor time used since the start.
	CPUSeconds float64 `json:"cpu_seconds"`
	// HeapBytes is the memory of live and not yet collected objects.
	HeapBytes uint64 `json:"heap_bytes"`
	// StackBytes is the memory of goroutine stacks.
	StackBytes uint64 `json:"stack_bytes"`
	// MaxResidentBytes is the largest resident size so far.
	MaxResidentBytes uint64 `json:"max_resident_bytes"`
	Goroutines       int    `json:"goroutines"`
}

// bytesPerKiB converts the kernel's resident size.
const bytesPerKiB = 1 << 10

func init() {
	expvar.Publish("cardamompier_process", expvar.Func(func() any { return ReadProcess() }))
}

// ReadProcess returns the process's use of the machine now.
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
