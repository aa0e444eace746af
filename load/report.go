package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Largest recorded time and significant digits of the histograms.
const (
	maxRecordedMicroseconds = int64(10 * time.Minute / time.Microsecond)
	histogramDigits         = 3
)

// Report holds what the callers of a run saw.
type Report struct {
	Complete int
	Tokens   int
	Resumes  int
	// Failures counts failed generations by code.
	Failures map[fault.Code]int
	// WrongAnswers describes each complete answer that differs from the
	// expected one; it is empty without Options.Verify.
	WrongAnswers []string
	// Calls holds the outcome of each call by its idempotency key.
	Calls map[string]CallOutcome
	// TimeToFirstToken and LongestTokenInterval record one value, in
	// microseconds, for each complete answer.
	TimeToFirstToken     *hdrhistogram.Histogram
	LongestTokenInterval *hdrhistogram.Histogram

	mu sync.Mutex
}

func newReport() *Report {
	return &Report{
		Failures:             make(map[fault.Code]int),
		Calls:                make(map[string]CallOutcome),
		TimeToFirstToken:     hdrhistogram.New(1, maxRecordedMicroseconds, histogramDigits),
		LongestTokenInterval: hdrhistogram.New(1, maxRecordedMicroseconds, histogramDigits),
	}
}

// add records one finished generation.
func (r *Report) add(answer client.Answer, firstToken time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Tokens += len(answer.Tokens)
	r.Resumes += answer.Resumes
	if err != nil {
		r.Failures[fault.From(err).Code]++
		return
	}
	r.Complete++
	record(r.TimeToFirstToken, firstToken)
	record(r.LongestTokenInterval, answer.LongestTokenInterval)
}

// addWrongAnswer records how a complete answer differs from the expected one.
func (r *Report) addWrongAnswer(difference string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.WrongAnswers = append(r.WrongAnswers, difference)
}

// addCall records one finished call.
func (r *Report) addCall(key string, err error) {
	outcome := CallOutcome{Answered: err == nil}
	if err != nil {
		outcome.Execution = fault.From(err).Execution
		outcome.Code = fault.From(err).Code
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls[key] = outcome
}

// record adds a time, clamped to the histogram's range.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), 1), maxRecordedMicroseconds))
}
