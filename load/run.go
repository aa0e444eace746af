package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// finishTimeout bounds the wait for the last answers.
const finishTimeout = 2 * time.Minute

// Run starts generations at the given rate and waits for all of them.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Duration+finishTimeout)
	defer cancel()
	random := rand.New(rand.NewPCG(options.Seed, 0))
	caller := client.New(client.Options{Addresses: options.Addresses, Key: options.Key})
	report := newReport()
	var wait sync.WaitGroup
	end := time.Now().Add(options.Duration)
	for index := 0; time.Now().Before(end) && ctx.Err() == nil; index++ {
		prompt := fmt.Sprintf("request %d of run %d: %x", index, options.Seed, random.Uint64())
		wait.Go(func() { generate(ctx, caller, options, prompt, report) })
		sleep(ctx, time.Duration(random.ExpFloat64()/options.Rate*float64(time.Second)))
	}
	wait.Wait()
	return report, nil
}

func generate(ctx context.Context, from *client.Client, options Options, prompt string, report *Report) {
	started := time.Now()
	var firstToken time.Duration
	generation := client.Generation{
		CompletionBody: caller.CompletionBody{Model: options.Model, Prompt: prompt, MaxTokens: options.Tokens},
		IdempotencyKey: prompt,
		SendDelivered:  true,
	}
	answer, err := from.Generate(ctx, generation, func(offset int, _ string) {
		if offset == 0 {
			firstToken = time.Since(started)
		}
	})
	report.add(answer, firstToken, err)
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
