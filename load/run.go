package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// finishTimeout bounds the wait for answers after the last request was started.
const finishTimeout = 2 * time.Minute

// Streams of the random number generator of one run.
const (
	generationRandomStream = iota
	callRandomStream
)

// Run starts generations and calls at the given mean rates and waits for all of
// them. The error is for invalid options; failed requests are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Duration+finishTimeout)
	defer cancel()
	loadClient := client.New(client.Options{Addresses: options.Addresses, Key: options.Key})
	report := newReport()
	var wait sync.WaitGroup
	wait.Go(func() {
		startArrivals(ctx, options, options.Rate, generationRandomStream, func(index int, salt uint64) {
			prompt := fmt.Sprintf("request %d of run %d: %x", index, options.Seed, salt)
			generate(ctx, loadClient, options, prompt, report)
		})
	})
	wait.Go(func() {
		startArrivals(ctx, options, options.CallRate, callRandomStream, func(index int, salt uint64) {
			key := fmt.Sprintf("call-%d-%d-%x", options.Seed, index, salt)
			call(ctx, loadClient, options, key, report)
		})
	})
	wait.Wait()
	return report, nil
}

// startArrivals starts work as a Poisson process of a mean rate per second and
// waits for all of it.
func startArrivals(ctx context.Context, options Options, rate float64, stream uint64, work func(index int, salt uint64)) {
	if rate == 0 {
		return
	}
	random := rand.New(rand.NewPCG(options.Seed, stream))
	end := time.Now().Add(options.Duration)
	var wait sync.WaitGroup
	for index := 0; time.Now().Before(end) && ctx.Err() == nil; index++ {
		salt := random.Uint64()
		wait.Go(func() { work(index, salt) })
		pause.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
	}
	wait.Wait()
}

func generate(ctx context.Context, loadClient *client.Client, options Options, prompt string, report *Report) {
	started := time.Now()
	var firstToken time.Duration
	generation := client.Generation{
		CompletionBody: caller.CompletionBody{Model: options.Model, Prompt: prompt, MaxTokens: options.Tokens},
		IdempotencyKey: prompt,
		SendDelivered:  true,
	}
	answer, err := loadClient.Generate(ctx, generation, func(offset int, _ string) {
		if offset == 0 {
			firstToken = time.Since(started)
		}
	})
	report.add(answer, firstToken, err)
	if err != nil || !options.Verify {
		return
	}
	want := engine.Answer{Model: options.Model, Version: answer.Version, Prompt: prompt, Seed: answer.Seed, MaxTokens: options.Tokens}
	if difference := want.Difference(answer.Tokens); difference != "" {
		report.addWrongAnswer(difference)
	}
}

func call(ctx context.Context, loadClient *client.Client, options Options, key string, report *Report) {
	_, err := loadClient.Call(ctx, client.Call{
		Service:        options.Service,
		Operation:      options.Operation,
		IdempotencyKey: key,
		Body:           []byte(`{"key":"` + key + `"}`),
	})
	report.addCall(key, err)
}
