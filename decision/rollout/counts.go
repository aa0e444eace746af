package rollout

import (
	"math"
	"time"
)

// Buckets is the number of latency buckets; bucket i ends at 2 ms x 1.5^i, and the last one has no end.
const Buckets = 25

const (
	firstBucket  = 2 * time.Millisecond
	bucketFactor = 1.5
)

// BucketOf returns the bucket of a latency.
func BucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	return min(Buckets-1, int(math.Ceil(math.Log(float64(latency)/float64(firstBucket))/math.Log(bucketFactor))))
}

// upperEdge returns the end of a bucket.
func upperEdge(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketFactor, float64(bucket)))
}

// Cell identifies counters: what was measured, where, and at which version.
type Cell struct {
	// Route is a hash of the route's name and of what was measured. DataCentre is a hash of the name of the server's.
	Route, DataCentre uint32
	// New is set for the version that the order moves to.
	New bool
}

// Counts are counters since the begin of an order. They only grow.
type Counts struct {
	// Failures counts the answers that failed, Latencies the others by bucket.
	Failures  uint32
	Latencies [Buckets]uint32
}

// Answers returns the number of answers.
func (c *Counts) Answers() int {
	total := int(c.Failures)
	for _, count := range c.Latencies {
		total += int(count)
	}
	return total
}

// Slower returns the number of successful answers in buckets from the given one on.
func (c *Counts) Slower(from int) int {
	total := 0
	for _, count := range c.Latencies[min(max(from, 0), Buckets):] {
		total += int(count)
	}
	return total
}

// bad returns the number of answers that failed or are in buckets from the given one on.
func (c *Counts) bad(slow int) int { return int(c.Failures) + c.Slower(slow) }

// Add adds counters.
func (c *Counts) Add(other *Counts) {
	c.Failures += other.Failures
	for i := range c.Latencies {
		c.Latencies[i] += other.Latencies[i]
	}
}

// minus returns c less earlier, which has no larger counter unless its source has left.
func (c *Counts) minus(earlier *Counts) Counts {
	difference := Counts{Failures: subtract(c.Failures, earlier.Failures)}
	for i := range c.Latencies {
		difference.Latencies[i] = subtract(c.Latencies[i], earlier.Latencies[i])
	}
	return difference
}

func subtract(a, b uint32) uint32 { return a - min(a, b) }

// Evidence is what instances counted since the begin of an order.
type Evidence struct {
	// Requests counts the requests of clients for the service, Exposed those sent to the new version, with
	// repetitions.
	Requests, Exposed int
	// OldStreams counts the streams that run at old servers now.
	OldStreams int
	Cells      map[Cell]Counts
}

// Add adds the evidence of another instance.
func (e *Evidence) Add(other *Evidence) {
	e.Requests += other.Requests
	e.Exposed += other.Exposed
	e.OldStreams += other.OldStreams
	if e.Cells == nil {
		e.Cells = make(map[Cell]Counts, len(other.Cells))
	}
	for cell, counts := range other.Cells {
		sum := e.Cells[cell]
		sum.Add(&counts)
		e.Cells[cell] = sum
	}
}
