package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker is the text in a prompt that makes every engine crash that admits
// the call.
const CrashMarker = "[[crash-engine]]"

// bytesPerToken is the assumed length of a prompt token in bytes.
const bytesPerToken = 4

// vocabulary holds the words of generated answers. Its size is a power of two.
var vocabulary = [...]string{
	"check ", "the ", "valve ", "and ", "close ", "tap ", "before ", "element ",
	"tile ", "order ", "within ", "warranty ", "days ", "drain ", "tank ", "supplier ",
}

// answer is the text that every engine generates for one prompt.
type answer struct {
	seed  uint64
	total int
}

// answerTo returns the answer to a prompt, between maxTokens/2 and maxTokens tokens
// long. It depends on nothing but its arguments.
func answerTo(prompt string, maxTokens int) answer {
	seed := xxhash.Sum64String(prompt)
	spread := uint64(maxTokens/2 + 1)
	return answer{seed: seed, total: maxTokens - int(seed%spread)}
}

// token returns token i. Every eighth token contains a hash of the prompt and its
// index, so that tests detect tokens that are lost, duplicated or from another
// answer.
func (a answer) token(i int) string {
	if i%8 == 0 {
		return strconv.FormatUint(a.seed&0xffff, 16) + "-" + strconv.Itoa(i) + " "
	}
	return vocabulary[(a.seed>>(uint(i)%48)+uint64(i))%uint64(len(vocabulary))]
}

// AnswerTokens returns the tokens that an engine generates for a prompt, so that
// tests can check that a client received the complete answer to its request.
func AnswerTokens(prompt string, maxTokens int) []string {
	a := answerTo(prompt, maxTokens)
	tokens := make([]string, a.total)
	for i := range tokens {
		tokens[i] = a.token(i)
	}
	return tokens
}

// AnswerText returns the concatenation of AnswerTokens.
func AnswerText(prompt string, maxTokens int) string {
	return strings.Join(AnswerTokens(prompt, maxTokens), "")
}

// promptTokens returns the number of tokens of a prompt, at least one.
func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
