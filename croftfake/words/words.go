// Package words generates the tokens of simulated engines. A token depends on the
// prompt and its index only, so that a receiver can detect an answer that is
// truncated, contains repeated tokens or belongs to another prompt.
package words

import (
	"math"
	"strconv"
	"strings"

	"croftmoor.dev/kernel/guess"
	"croftmoor.dev/kernel/ident"
)

const (
	vocabularySize = 10_000
	// longTailShare is the fraction of answers that are longTailFactor times longer.
	longTailShare  = 0.04
	longTailFactor = 6.0
	// lengthSigma is the standard deviation of the logarithm of the length.
	lengthSigma = 0.35
	// familyScale determines how much the mean length varies between families.
	familyScale = 4
)

// Token returns the text of the token at index, with a trailing space.
func Token(prompt string, index int) string {
	return strconv.FormatUint(ident.Hash(prompt, strconv.Itoa(index))%vocabularySize, 10) + " "
}

// Text returns the text of the tokens in [from, to).
func Text(prompt string, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// IsComplete reports whether text is exactly the first n tokens of the answer.
func IsComplete(prompt, text string, n int) bool {
	return text == Text(prompt, 0, n)
}

// Length returns the number of tokens of the answer to a prompt, from 1 to
// maxTokens. The lengths are log-normal with a long tail, and the prompts of a
// family have a common scale.
func Length(prompt, seed string, mean, maxTokens int) int {
	family := unitInterval(ident.Hash("family", guess.Family(prompt)))
	scale := 0.5 + familyScale*family*family*family
	u := unitInterval(ident.Hash("length", prompt, seed))
	v := unitInterval(ident.Hash("spread", prompt, seed))
	normal := math.Sqrt(-2*math.Log(max(u, 1e-12))) * math.Cos(2*math.Pi*v)
	length := float64(mean) * scale * math.Exp(lengthSigma*normal) / (0.5 + familyScale/4.0)
	if unitInterval(ident.Hash("long", prompt, seed)) < longTailShare {
		length *= longTailFactor
	}
	return max(1, min(int(length), maxTokens))
}

// unitInterval maps a hash to [0, 1).
func unitInterval(hash uint64) float64 {
	return float64(hash>>11) / float64(1<<53)
}
