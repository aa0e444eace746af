package event

import "github.com/rs/zerolog"

// Events of generations, numbered from 2000.
var (
	GenerationResumed   = Definition{2000, "generation_resumed", zerolog.InfoLevel, "an interrupted answer was resumed; kind tells how", "none; check the engine if it is often the same one"}
	GenerationRestarted = Definition{2001, "generation_restarted", zerolog.WarnLevel, "an answer was restarted because the repetition with the same seed differed from it", "check that the model's engines honour the seed"}
	GenerationFailed    = Definition{2002, "generation_failed", zerolog.WarnLevel, "an answer ended with a typed error; delivered counts the tokens that the caller has", "see docs/operations/generations.md for the code"}
	GenerationDetached  = Definition{2003, "generation_detached", zerolog.InfoLevel, "the connection of a caller with an idempotency key broke; its engine stream is kept for the grace period", "none"}
	GenerationAbandoned = Definition{2004, "generation_abandoned", zerolog.InfoLevel, "a caller with an idempotency key did not reconnect within the grace period; its stream is cancelled", "none"}
)

var generationEvents = []Definition{
	GenerationResumed, GenerationRestarted, GenerationFailed, GenerationDetached, GenerationAbandoned,
}
