package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the processor time that the process had used at a time.
type usage struct {
	at        time.Time
	processor time.Duration
}

func readUsage() usage {
	var self syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	return usage{at: time.Now(), processor: duration(self.Utime) + duration(self.Stime)}
}

func duration(value syscall.Timeval) time.Duration {
	return time.Duration(value.Sec)*time.Second + time.Duration(value.Usec)*time.Microsecond
}

// since returns the elapsed and the processor time since an earlier reading.
func (u usage) since(earlier usage) (elapsed, processor time.Duration) {
	return u.at.Sub(earlier.at), u.processor - earlier.processor
}

// heapBytes returns the bytes of live heap and of stacks after two garbage collections.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
