package routing

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Lengths of the parts of prompts, in bytes, and shares of the mix: of prompts with a document,
// and of documents that are edited before they are sent.
const (
	systemBytes      = 2400
	questionBytes    = 400
	minDocumentBytes = 8_000
	maxDocumentBytes = 32_000
	editBytes        = 200
	wordBytes        = 8
	documentPart     = 0.6
	editPart         = 0.3
)

// request is one request of the workload.
type request struct {
	at       time.Duration
	account  int
	prompt   string
	tokens   int
	instance int
}

// workload draws requests. Each account has one system prompt, which starts all of its prompts,
// and documents that recur, some of them edited.
type workload struct {
	random    *rand.Rand
	systems   []string
	documents [][]string
}

func newWorkload(random *rand.Rand) *workload {
	w := &workload{random: random}
	for range accounts {
		w.systems = append(w.systems, text(random, systemBytes))
		var own []string
		for range documents {
			own = append(own, text(random, minDocumentBytes+random.IntN(maxDocumentBytes-minDocumentBytes)))
		}
		w.documents = append(w.documents, own)
	}
	return w
}

// draw returns the requests of a run in the order of their arrival.
func (w *workload) draw(length time.Duration) []request {
	var all []request
	for at := time.Duration(0); at < length; at += w.gap() {
		account := w.account()
		all = append(all, request{
			at: at, account: account, prompt: w.prompt(account),
			tokens:   1 + int(w.random.ExpFloat64()*answerTokens),
			instance: w.random.IntN(instances),
		})
	}
	return all
}

func (w *workload) gap() time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

// account draws an account. A few accounts send a large part of the requests.
func (w *workload) account() int {
	return int(math.Pow(w.random.Float64(), 2) * accounts)
}

func (w *workload) prompt(account int) string {
	if w.random.Float64() >= documentPart {
		return w.systems[account] + text(w.random, questionBytes)
	}
	index := w.random.IntN(documents)
	document := w.documents[account][index]
	if w.random.Float64() < editPart {
		at := w.random.IntN(len(document) - editBytes)
		document = document[:at] + text(w.random, editBytes) + document[at+editBytes:]
		w.documents[account][index] = document
	}
	return w.systems[account] + document + text(w.random, questionBytes)
}

// text returns random words separated by spaces, cut to the length in bytes.
func text(random *rand.Rand, length int) string {
	var built strings.Builder
	for built.Len() < length {
		for range wordBytes - 1 {
			built.WriteByte(byte('a' + random.IntN(26)))
		}
		built.WriteByte(' ')
	}
	return built.String()[:length]
}
