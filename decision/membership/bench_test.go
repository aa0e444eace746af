package membership_test

import (
	"testing"
	"time"
)

// BenchmarkInstanceSecond measures the steps of one of 185 instances in one
// second without changes.
func BenchmarkInstanceSecond(b *testing.B) {
	const instances = 185
	f := newFleet(1, map[string]int{"a": instances}, []string{"a"})
	f.run(40 * time.Second)
	b.ResetTimer()
	for range b.N {
		f.run(time.Second / instances)
	}
}
