// Package words makes the tokens that stand-in engines produce. They follow
// from the prompt and the position, so that a receiver can tell a whole answer
// to its own prompt from a cut, crossed or doubled one.
package words

import (
	"math"
	"strconv"
	"strings"

	"croftmoor.dev/kernel/guess"
	"croftmoor.dev/kernel/ident"
)

const (
	alphabet    = 10_000
	longShare   = 0.04
	longFactor  = 6.0
	spread      = 0.35
	familyScale = 4
)

// Token returns the text of the token at index.
func Token(prompt string, index int) string {
	return strconv.FormatUint(ident.Hash(prompt, strconv.Itoa(index))%alphabet, 10) + " "
}

// Text returns the tokens from index from up to but not including to.
func Text(prompt string, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// IsComplete tells whether text is the complete run of its first n tokens.
func IsComplete(prompt, text string, n int) bool {
	return text == Text(prompt, 0, n)
}

// Length returns how many tokens the answer to a prompt has: long-tailed
// around mean, with a family of prompts leaning one way.
func Length(prompt, seed string, mean, most int) int {
	family := fraction(ident.Hash("family", guess.Family(prompt)))
	scale := 0.5 + familyScale*family*family*family
	u := fraction(ident.Hash("length", prompt, seed))
	v := fraction(ident.Hash("spread", prompt, seed))
	normal := math.Sqrt(-2*math.Log(max(u, 1e-12))) * math.Cos(2*math.Pi*v)
	length := float64(mean) * scale * math.Exp(spread*normal) / (0.5 + familyScale/4.0)
	if fraction(ident.Hash("long", prompt, seed)) < longShare {
		length *= longFactor
	}
	return max(1, min(int(length), most))
}

func fraction(hash uint64) float64 {
	return float64(hash>>11) / float64(1<<53)
}
