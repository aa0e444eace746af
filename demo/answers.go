package demo

import (
	"context"
	"fmt"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// Sizes of the scenarios: answers, tokens of an answer, and the offset at which
// the failure is caused.
const (
	undisturbedAnswerCount = 20
	failureAnswerCount     = 10
	answerTokens           = 150
	failureOffset          = 40
)

// collector collects the outcomes of concurrent answers in a result.
type collector struct {
	mu     sync.Mutex
	result Result
}

func (c *collector) add(generation client.Generation, answer client.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Answers++
	c.result.Tokens += len(answer.Tokens)
	c.result.Resumes += answer.Resumes
	c.result.LongestTokenInterval = max(c.result.LongestTokenInterval, answer.LongestTokenInterval)
	if err != nil {
		c.result.Failures = append(c.result.Failures, err.Error())
		return
	}
	if difference := checkAnswer(generation, answer); difference != "" {
		c.result.Failures = append(c.result.Failures, difference)
	}
}

func (d *Demo) generation(name string, index int) client.Generation {
	return client.Generation{
		CompletionBody: caller.CompletionBody{
			Model:     d.model,
			Prompt:    fmt.Sprintf("%s: summarize log %d of the station", name, index),
			MaxTokens: answerTokens,
		},
		IdempotencyKey: fmt.Sprintf("%s-%d", name, index),
		SendDelivered:  true,
	}
}

// plainAnswers streams answers without failures.
func (d *Demo) plainAnswers(ctx context.Context) Result {
	collected := &collector{result: Result{Scenario: "plain answers"}}
	var wait sync.WaitGroup
	for i := range undisturbedAnswerCount {
		wait.Go(func() {
			generation := d.generation("plain", i)
			answer, err := d.client(i, d.estate.CallerAddresses()).Generate(ctx, generation, nil)
			collected.add(generation, answer, err)
		})
	}
	wait.Wait()
	return collected.result
}

// engineFails kills the engine with the most running streams in the middle of the
// answers.
func (d *Demo) engineFails(ctx context.Context) Result {
	collected := &collector{result: Result{Scenario: "engine fails in mid-answer"}}
	var once sync.Once
	var wait sync.WaitGroup
	for i := range failureAnswerCount {
		wait.Go(func() {
			generation := d.generation("engine-dies", i)
			onToken := func(offset int, _ string) {
				if offset == failureOffset {
					once.Do(func() { d.killBusiestEngine(&collected.result) })
				}
			}
			answer, err := d.client(i, d.estate.CallerAddresses()).Generate(ctx, generation, onToken)
			collected.add(generation, answer, err)
		})
	}
	wait.Wait()
	return collected.result
}

// killBusiestEngine kills the engine with the most running streams.
func (d *Demo) killBusiestEngine(*Result) {
	busiest, most := "", 0
	for name, candidate := range d.estate.Engines {
		if running := candidate.RunningStreams(); running > most {
			busiest, most = name, running
		}
	}
	if busiest == "" {
		return
	}
	d.progress("killing engine %s with %d running streams", busiest, most)
	d.estate.Engines[busiest].Kill()
}

// instanceFails aborts an entry instance in the middle of the answers; its
// callers resume at another one and send it the tokens that they have.
func (d *Demo) instanceFails(ctx context.Context) Result {
	collected := &collector{result: Result{Scenario: "entry instance fails in mid-answer"}}
	failing := d.estate.Entries[0]
	addresses := []string{failing.Addresses().Callers, d.estate.Entries[1].Addresses().Callers}
	var once sync.Once
	var wait sync.WaitGroup
	for i := range failureAnswerCount {
		wait.Go(func() {
			generation := d.generation("instance-dies", i)
			onToken := func(offset int, _ string) {
				if offset == failureOffset {
					once.Do(func() {
						d.progress("aborting entry instance at %s", failing.Addresses().Callers)
						go failing.Abort()
					})
				}
			}
			answer, err := d.client(i, addresses).Generate(ctx, generation, onToken)
			collected.add(generation, answer, err)
		})
	}
	wait.Wait()
	return collected.result
}
