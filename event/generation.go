package event

import "github.com/rs/zerolog"

// Events of generations, numbered from 2000.
var (
	GenerationResumed   = Definition{2000, "generation_resumed", zerolog.InfoLevel, "a broken answer goes on; kind says how", "none; look at the engine when it is often the same"}
	GenerationRestarted = Definition{2001, "generation_restarted", zerolog.WarnLevel, "an answer started again because another one was produced for the same seed", "check that the model's engines honour the seed"}
	GenerationFailed    = Definition{2002, "generation_failed", zerolog.WarnLevel, "an answer ended with a typed error; delivered says what the caller has", "see docs/operations/generations.md for the code"}
	GenerationDetached  = Definition{2003, "generation_detached", zerolog.InfoLevel, "a keyed caller's connection broke; its engine stream is kept for the grace period", "none"}
	GenerationAbandoned = Definition{2004, "generation_abandoned", zerolog.InfoLevel, "a keyed caller did not come back within the grace period; its stream is cancelled", "none"}
)

var generationEvents = []Definition{
	GenerationResumed, GenerationRestarted, GenerationFailed, GenerationDetached, GenerationAbandoned,
}
