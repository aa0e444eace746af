package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/client"
	"github.com/wisteriahaven/wisteriahaven/standin/engine"
	"github.com/wisteriahaven/wisteriahaven/standin/loopback"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// Sizes of the test.
const (
	answers      = 8
	answerTokens = 100
	stopTimeout  = time.Minute
	// callerTimeout ends callers whose answers were cut.
	callerTimeout = 20 * time.Second
)

// TestPlannedStopCutsNoRequest stops an instance in the middle of generations
// and calls: each ends whole on its first connection.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	estate, err := loopback.Start(loopback.Options{
		Directory:  "../examples/bavaria",
		MaxEntries: 1,
		Engine:     engine.Settings{TokenTime: 5 * time.Millisecond},
		Logger:     zerolog.Nop(),
	})
	is.NoErr(err)
	defer estate.Stop()
	instance := estate.Entries[0]
	from := client.New(client.Options{
		Addresses: estate.CallerAddresses(),
		Key:       estate.Keys.ClientAccounts["kaufhaus-isar-theke"],
	})
	callers, release := context.WithTimeout(context.Background(), callerTimeout)
	defer release()
	started := make(chan struct{}, answers)
	results := make([]client.Answer, answers)
	failures := make([]error, answers)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() {
			generation := client.Generation{CompletionBody: caller.CompletionBody{
				Model: "auskunft", Prompt: fmt.Sprintf("audit %d", i), MaxTokens: answerTokens,
			}}
			results[i], failures[i] = from.Generate(callers, generation, func(offset int, _ string) {
				if offset == 0 {
					started <- struct{}{}
				}
			})
		})
	}
	for range answers {
		<-started
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	is.NoErr(instance.Stop(ctx))
	wait.Wait()
	for i := range answers {
		is.NoErr(failures[i])
		is.Equal(len(results[i].Tokens), answerTokens)
		is.Equal(results[i].Resumes, 0)
	}
	is.True(!instance.Ready())
}
