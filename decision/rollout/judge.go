package rollout

import (
	"math"
	"time"
)

const (
	// badScore is the logarithm of the likelihood ratio from which a version is bad: in any one window a good one
	// reaches it by chance less than once in 2,900 times. withoutWorstScore must remain without the worst data centre.
	badScore          = 8.0
	withoutWorstScore = 7.0
	// aloneAnswers is the number of answers from which one data centre is enough for a verdict: others may not have
	// answered yet.
	aloneAnswers = 20
	// minRest is the number of answers without which the other data centres contradict none.
	minRest = 8
	// slowBuckets is how many buckets above the usual median an answer is slow: 2.3 to 3.4 times as long.
	slowBuckets = 3
	// leastSlow is the time up to which no answer is slow: below it, waiting for processors and links outweighs the
	// server's work.
	leastSlow = 20 * time.Millisecond
	// minReference is the number of old answers in a data centre from which they are the reference there.
	minReference = 8
	// maxWindows bounds the kept sums of evidence.
	maxWindows = 64
	// floorRate is the least share of bad answers that is expected of any version.
	floorRate = 0.04
)

// Judge compares the versions of one order. It keeps the sums of evidence of up to maxWindows times.
type Judge struct {
	spacing time.Duration
	windows []window
}

type window struct {
	at    time.Duration
	cells map[Cell]Counts
}

// NewJudge returns a judge of an order with the given duration.
func NewJudge(duration time.Duration) *Judge {
	return &Judge{spacing: max(200*time.Millisecond, duration/(maxWindows-4))}
}

// Findings is what the evidence shows.
type Findings struct {
	// Score is the logarithm of the likelihood that the new version is bad against that it is not, 0 or more.
	Score float64
	// Bad is set when the version is to be rolled back.
	Bad bool
	// Answers and BadAnswers count the new version's answers since the begin.
	Answers, BadAnswers int
	// OldAnswers and OldBadAnswers are the same of the old version.
	OldAnswers, OldBadAnswers int
	// Route is the hash of the route with the highest score. Window is the time over which it was found.
	Route  uint32
	Window time.Duration
}

// Evaluate evaluates evidence at a time since the begin of the order. Times must not decrease.
func (j *Judge) Evaluate(at time.Duration, evidence *Evidence) Findings {
	if len(j.windows) == 0 {
		j.windows = append(j.windows, window{cells: make(map[Cell]Counts)})
	}
	routes := byRoute(evidence.Cells)
	best := Findings{}
	for _, cells := range routes {
		slow := slowFrom(cells)
		for cell, counts := range cells {
			bad := counts.bad(slow)
			if cell.New {
				best.Answers += counts.Answers()
				best.BadAnswers += bad
			} else {
				best.OldAnswers += counts.Answers()
				best.OldBadAnswers += bad
			}
		}
	}
	for i := range j.windows {
		found := judgeWindow(routes, j.windows[i].cells)
		if found.Score > best.Score || (found.Bad && !best.Bad) {
			best.Score, best.Route, best.Window = found.Score, found.Route, at-j.windows[i].at
		}
		best.Bad = best.Bad || found.Bad
	}
	if last := j.windows[len(j.windows)-1]; at-last.at >= j.spacing {
		if len(j.windows) == maxWindows {
			j.windows = append(j.windows[:1], j.windows[2:]...)
		}
		kept := window{at: at, cells: make(map[Cell]Counts, len(evidence.Cells))}
		for cell, counts := range evidence.Cells {
			kept.cells[cell] = counts
		}
		j.windows = append(j.windows, kept)
	}
	return best
}

// byRoute groups cells by route.
func byRoute(cells map[Cell]Counts) map[uint32]map[Cell]Counts {
	routes := make(map[uint32]map[Cell]Counts)
	for cell, counts := range cells {
		if routes[cell.Route] == nil {
			routes[cell.Route] = make(map[Cell]Counts)
		}
		routes[cell.Route][cell] = counts
	}
	return routes
}

// tally sums the new version's answers of one data centre.
type tally struct {
	answers, bad int
	// ever is the number of answers since the begin of the order.
	ever int
	// expected is the number of bad answers that a good version may have.
	expected float64
}

func (t tally) plus(other tally) tally {
	return tally{answers: t.answers + other.answers, ever: t.ever + other.ever, bad: t.bad + other.bad, expected: t.expected + other.expected}
}

func (t tally) minus(other tally) tally {
	return tally{answers: t.answers - other.answers, ever: t.ever - other.ever, bad: t.bad - other.bad, expected: t.expected - other.expected}
}

// score returns the logarithm of the likelihood of the bad answers with the rate that was seen against the expected rate,
// 0 if no more came than expected.
func (t tally) score() float64 {
	answers, bad := float64(t.answers), float64(t.bad)
	if t.answers == 0 || bad <= t.expected {
		return 0
	}
	score := bad * math.Log(bad/t.expected)
	if t.bad < t.answers {
		score += (answers - bad) * math.Log((answers-bad)/(answers-t.expected))
	}
	return score
}

// judgeWindow evaluates the evidence that came after earlier sums.
func judgeWindow(routes map[uint32]map[Cell]Counts, earlier map[Cell]Counts) Findings {
	var found Findings
	all := make(map[uint32]tally)
	for route, cells := range routes {
		tallies := tallyRoute(cells, earlier)
		if score := confirmed(tallies); score > found.Score {
			found.Score, found.Route = score, route
		}
		for dataCentre, sum := range tallies {
			all[dataCentre] = all[dataCentre].plus(sum)
		}
	}
	found.Score = max(found.Score, confirmed(all))
	found.Bad = found.Score >= badScore
	return found
}

// confirmed returns the score of tallies by data centre, less when it comes from a single one of several: it reaches
// badScore only if withoutWorstScore remains without any of them.
func confirmed(tallies map[uint32]tally) float64 {
	var total tally
	for _, sum := range tallies {
		total = total.plus(sum)
	}
	score := total.score()
	for _, sum := range tallies {
		rest := total.minus(sum)
		switch {
		case rest.ever >= minRest:
			score = min(score, rest.score()*badScore/withoutWorstScore)
		case total.ever < aloneAnswers:
			score = min(score, badScore-1)
		}
	}
	return score
}

// tallyRoute returns the tallies of one route by data centre in which the new version has answered, ever.
func tallyRoute(cells, earlier map[Cell]Counts) map[uint32]tally {
	slow := slowFrom(cells)
	var old, always Counts
	recent := make(map[Cell]Counts, len(cells))
	for cell, counts := range cells {
		before := earlier[cell]
		recent[cell] = counts.minus(&before)
		if !cell.New {
			part := recent[cell]
			old.Add(&part)
			always.Add(&counts)
		}
	}
	usual := max(badRate(&old, slow), badRate(&always, slow))
	tallies := make(map[uint32]tally)
	for cell, counts := range recent {
		answers := counts.Answers()
		whole := cells[cell]
		if !cell.New || whole.Answers() == 0 {
			continue
		}
		expected := usual
		reference := recent[Cell{Route: cell.Route, DataCentre: cell.DataCentre}]
		if reference.Answers() >= minReference {
			expected = max(expected, badRate(&reference, slow))
		}
		tallies[cell.DataCentre] = tally{answers: answers, ever: whole.Answers(), bad: counts.bad(slow), expected: expected * float64(answers)}
	}
	return tallies
}

// slowFrom returns the bucket from which answers of a route are slow: slowBuckets above the median of the
// old version's and above leastSlow, or beyond all buckets without such answers.
func slowFrom(cells map[Cell]Counts) int {
	var old Counts
	for cell, counts := range cells {
		if !cell.New {
			old.Add(&counts)
		}
	}
	total := old.Slower(0)
	if total < minReference {
		return Buckets
	}
	seen := 0
	for bucket, count := range old.Latencies {
		if seen += int(count); 2*seen >= total {
			return max(bucket+slowBuckets, BucketOf(leastSlow)+1)
		}
	}
	return Buckets
}

// badRate returns a high estimate of the share of bad answers that is expected of a good version by the old one's.
func badRate(old *Counts, slow int) float64 {
	answers := float64(old.Answers())
	if answers == 0 {
		return 0.5
	}
	bad := float64(old.bad(slow))
	rate := (bad + 0.5) / (answers + 1)
	return min(0.9, max(floorRate, rate+math.Sqrt(rate*(1-rate)/answers)))
}

// SlowAfter returns the time after which an unanswered request of a route is slow, 0 when unknown.
func SlowAfter(evidence *Evidence, route uint32) time.Duration {
	cells := make(map[Cell]Counts)
	for cell, counts := range evidence.Cells {
		if cell.Route == route {
			cells[cell] = counts
		}
	}
	if slow := slowFrom(cells); slow < Buckets {
		return upperEdge(slow)
	}
	return 0
}
