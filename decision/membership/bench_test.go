package membership_test

import (
	"testing"
	"time"
)

// BenchmarkInstanceSecond is the decisions of one of 185 instances in one
// second of quiet operation.
func BenchmarkInstanceSecond(b *testing.B) {
	const instances = 185
	f := newFleet(1, map[string]int{"a": instances}, []string{"a"})
	f.run(40 * time.Second)
	b.ResetTimer()
	for range b.N {
		f.run(time.Second / instances)
	}
}
