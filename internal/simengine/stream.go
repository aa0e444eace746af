package simengine

import (
	"slices"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// Bounds of the length of simulated answers in tokens.
const (
	minAnswerLength = 20
	answerLengths   = 60
)

// stream is one answer that an engine produces.
type stream struct {
	engine    *Engine
	id        string
	seed      uint64
	salt      uint64
	tokens    []string
	hash      rollinghash.Hash
	length    int
	ended     bool
	cancelled bool
	readers   []*connection
}

func answerLength(seed uint64) int { return minAnswerLength + int(mix(seed)%answerLengths) }

// tokenAfter is the definition of an answer: the token after a prefix.
func tokenAfter(seed, salt uint64, prefix rollinghash.Hash) string {
	return strconv.FormatUint(mix(seed^mix(salt)^uint64(prefix))&0xffff, 16) + " "
}

// versionSalt makes every version produce other tokens.
func versionSalt(version string) uint64 { return uint64(rollinghash.Hash(0).Extend(version)) }

// mix is the finalizer of splitmix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// produce computes one token or the end and goes on.
func (s *stream) produce() {
	s.engine.whenRunning(func() {
		if s.cancelled || s.ended {
			return
		}
		oracle := s.engine.world.Oracle
		if len(s.tokens) >= s.length {
			s.ended = true
			oracle.ends[s.hash] = true
		} else {
			token := tokenAfter(s.seed, s.salt+versionSalt(s.engine.loaded()), s.hash)
			oracle.successors[successor{s.engine.loaded(), s.hash, token}] = true
			s.tokens = append(s.tokens, token)
			s.hash = s.hash.Extend(token)
			s.engine.ComputedTokens++
			s.engine.world.After(s.engine.Speed.Token, s.produce)
		}
		s.flush()
	})
}

// flush sends the readers what they lack.
func (s *stream) flush() {
	s.readers = slices.DeleteFunc(s.readers, func(c *connection) bool { return c.closed })
	for _, c := range s.readers {
		for c.next < len(s.tokens) {
			c.sendToken(s)
		}
		if s.ended {
			c.send(message{kind: messageDone, offset: len(s.tokens), hash: s.hash})
		}
	}
}
