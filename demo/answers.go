package demo

import (
	"context"
	"fmt"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// Sizes of the scenarios.
const (
	plainCount  = 20
	brokenCount = 10
	longTokens  = 150
	breakAt     = 40
)

// collector gathers the outcomes of concurrent answers.
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
	if wrong := checkAnswer(generation, answer); wrong != "" {
		c.result.Failures = append(c.result.Failures, wrong)
	}
}

func (d *Demo) generation(name string, index int) client.Generation {
	return client.Generation{
		CompletionBody: caller.CompletionBody{
			Model:     d.model,
			Prompt:    fmt.Sprintf("%s: summarize log %d of the station", name, index),
			MaxTokens: longTokens,
		},
		IdempotencyKey: fmt.Sprintf("%s-%d", name, index),
		SendDelivered:  true,
	}
}

// plainAnswers streams answers without failures.
func (d *Demo) plainAnswers(ctx context.Context) Result {
	gathered := &collector{result: Result{Scenario: "plain answers"}}
	var wait sync.WaitGroup
	for i := range plainCount {
		wait.Go(func() {
			generation := d.generation("plain", i)
			answer, err := d.client(i, d.estate.CallerAddresses()).Generate(ctx, generation, nil)
			gathered.add(generation, answer, err)
		})
	}
	wait.Wait()
	return gathered.result
}

// engineDies kills the busiest engine in the middle of the answers.
func (d *Demo) engineDies(ctx context.Context) Result {
	gathered := &collector{result: Result{Scenario: "engine dies in mid-answer"}}
	var once sync.Once
	var wait sync.WaitGroup
	for i := range brokenCount {
		wait.Go(func() {
			generation := d.generation("engine-dies", i)
			onToken := func(offset int, _ string) {
				if offset == breakAt {
					once.Do(func() { d.killBusiestEngine(&gathered.result) })
				}
			}
			answer, err := d.client(i, d.estate.CallerAddresses()).Generate(ctx, generation, onToken)
			gathered.add(generation, answer, err)
		})
	}
	wait.Wait()
	return gathered.result
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

// instanceDiesWithText ends an entry instance; its callers continue at the
// others with the text they have.
func (d *Demo) instanceDiesWithText(ctx context.Context) Result {
	gathered := &collector{result: Result{Scenario: "entry instance dies in mid-answer"}}
	victim := d.estate.Entries[0]
	addresses := []string{victim.Addresses().Callers, d.estate.Entries[1].Addresses().Callers}
	var once sync.Once
	var wait sync.WaitGroup
	for i := range brokenCount {
		wait.Go(func() {
			generation := d.generation("instance-dies", i)
			onToken := func(offset int, _ string) {
				if offset == breakAt {
					once.Do(func() {
						d.progress("ending entry instance at %s", victim.Addresses().Callers)
						go victim.Abort()
					})
				}
			}
			answer, err := d.client(i, addresses).Generate(ctx, generation, onToken)
			gathered.add(generation, answer, err)
		})
	}
	wait.Wait()
	return gathered.result
}
