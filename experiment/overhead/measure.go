package overhead

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// maxDelay is the longest delay that can be recorded.
const maxDelay = time.Minute

// measurement sums up all turns of one path.
type measurement struct {
	mu     sync.Mutex
	delays *hdrhistogram.Histogram
	tokens int
	// processorTime is the processor time of the whole process, engine and callers included.
	processorTime time.Duration
	elapsed       time.Duration
	failure       error
}

func newMeasurement() *measurement {
	return &measurement{delays: hdrhistogram.New(1, int64(maxDelay/time.Microsecond), 3)}
}

// recordDelay records the delay of one token.
func (m *measurement) recordDelay(value time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.delays.RecordValue(max(value.Microseconds(), 1))
}

// recordAnswer counts the tokens of one finished answer and keeps the first error.
func (m *measurement) recordAnswer(tokens, wanted int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens += tokens
	if err == nil && tokens != wanted {
		err = fault.New(fault.GenerationIncomplete, fmt.Sprintf("received %d of %d tokens", tokens, wanted))
	}
	if err != nil && m.failure == nil {
		m.failure = err
	}
}

// measureTurn runs one turn and adds its elapsed and processor time.
func (m *measurement) measureTurn(turn func()) {
	before, started := processorTime(), time.Now()
	turn()
	m.elapsed += time.Since(started)
	m.processorTime += processorTime() - before
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureShare sends the requests of one node's share of the peak load for the given time. To
// begin in the steady state, it first starts as many answers as run concurrently at this load,
// each with a random number of tokens left.
func (m *measurement) measureShare(ctx context.Context, s *system, address string, seed uint64, length time.Duration) {
	s.engine.tokenInterval.Store(int64(tokenTime))
	random := rand.New(rand.NewPCG(seed, 1))
	var answers sync.WaitGroup
	ask := func(tokens int) {
		prompt := fmt.Sprintf("prompt %x", random.Uint64())
		answers.Go(func() {
			count, err := readAnswer(ctx, address, prompt, tokens, s.engine.started, m.recordDelay)
			m.recordAnswer(count, tokens, err)
		})
	}
	m.measureTurn(func() {
		for range runningAtShare {
			ask(1 + random.IntN(shareTokens))
		}
		for end := time.Now().Add(length); time.Now().Before(end); {
			ask(shareTokens)
			time.Sleep(time.Duration(random.ExpFloat64() / shareRate * float64(time.Second)))
		}
		answers.Wait()
	})
}

// measureSaturation reads answers that the engine sends without pauses. Several streams run at
// once, each with one answer after the other.
func (m *measurement) measureSaturation(ctx context.Context, s *system, address string, answersEach int) {
	s.engine.tokenInterval.Store(0)
	var answers sync.WaitGroup
	m.measureTurn(func() {
		for i := range saturatedStreams {
			answers.Go(func() {
				for j := range answersEach {
					count, err := readAnswer(ctx, address, fmt.Sprint("prompt ", i, " ", j), saturatedTokens, s.engine.started, nil)
					m.recordAnswer(count, saturatedTokens, err)
				}
			})
		}
		answers.Wait()
	})
}

// tokensPerSecond returns the tokens per second.
func (m *measurement) tokensPerSecond() float64 { return float64(m.tokens) / m.elapsed.Seconds() }

// processorPerToken returns the processor time per token in nanoseconds.
func (m *measurement) processorPerToken() float64 {
	return float64(m.processorTime) / float64(max(1, m.tokens))
}

// delayPercentileMs returns a percentile of the token delay in milliseconds.
func (m *measurement) delayPercentileMs(percent float64) float64 {
	return float64(m.delays.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}
