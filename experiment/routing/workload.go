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
	documentShare    = 0.6
	editShare        = 0.3
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
	random        *rand.Rand
	systemPrompts []string
	documents     [][]string
}

func newWorkload(random *rand.Rand) *workload {
	w := &workload{random: random}
	for range accounts {
		w.systemPrompts = append(w.systemPrompts, randomText(random, systemBytes))
		var accountDocuments []string
		for range documentsPerAccount {
			accountDocuments = append(accountDocuments, randomText(random, minDocumentBytes+random.IntN(maxDocumentBytes-minDocumentBytes)))
		}
		w.documents = append(w.documents, accountDocuments)
	}
	return w
}

// draw returns the requests of a run in the order of their arrival.
func (w *workload) draw(length time.Duration) []request {
	var all []request
	for at := time.Duration(0); at < length; at += w.drawInterval() {
		account := w.drawAccount()
		all = append(all, request{
			at: at, account: account, prompt: w.drawPrompt(account),
			tokens:   1 + int(w.random.ExpFloat64()*meanAnswerTokens),
			instance: w.random.IntN(instances),
		})
	}
	return all
}

func (w *workload) drawInterval() time.Duration {
	return time.Duration(w.random.ExpFloat64() / requestsPerSecond * float64(time.Second))
}

// drawAccount draws an account. A few accounts send a large part of the requests.
func (w *workload) drawAccount() int {
	return int(math.Pow(w.random.Float64(), 2) * accounts)
}

func (w *workload) drawPrompt(account int) string {
	if w.random.Float64() >= documentShare {
		return w.systemPrompts[account] + randomText(w.random, questionBytes)
	}
	index := w.random.IntN(documentsPerAccount)
	document := w.documents[account][index]
	if w.random.Float64() < editShare {
		at := w.random.IntN(len(document) - editBytes)
		document = document[:at] + randomText(w.random, editBytes) + document[at+editBytes:]
		w.documents[account][index] = document
	}
	return w.systemPrompts[account] + document + randomText(w.random, questionBytes)
}

// randomText returns random words separated by spaces, cut to the length in bytes.
func randomText(random *rand.Rand, length int) string {
	var built strings.Builder
	for built.Len() < length {
		for range wordBytes - 1 {
			built.WriteByte(byte('a' + random.IntN(26)))
		}
		built.WriteByte(' ')
	}
	return built.String()[:length]
}
