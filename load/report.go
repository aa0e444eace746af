package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Bounds of the recorded times.
const (
	maxRecorded     = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Report is what the callers of a run saw.
type Report struct {
	Complete int
	Tokens   int
	Resumes  int
	// Failures counts failed generations by code.
	Failures map[fault.Code]int
	// Wrong lists what was wrong with complete answers, when they are verified.
	WrongAnswers []string
	// Calls holds the outcome of each call by its key.
	Calls map[string]CallOutcome
	// FirstToken and LongestGap hold microseconds.
	TimeToFirstToken     *hdrhistogram.Histogram
	LongestTokenInterval *hdrhistogram.Histogram

	mu sync.Mutex
}

func newReport() *Report {
	return &Report{
		Failures:             make(map[fault.Code]int),
		Calls:                make(map[string]CallOutcome),
		TimeToFirstToken:     hdrhistogram.New(1, maxRecorded, histogramDigits),
		LongestTokenInterval: hdrhistogram.New(1, maxRecorded, histogramDigits),
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

// addWrong records a complete answer that is not the right one.
func (r *Report) addWrong(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.WrongAnswers = append(r.WrongAnswers, what)
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

// record adds a time, cut to the histogram's range.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), 1), maxRecorded))
}
