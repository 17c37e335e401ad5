package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker in a prompt makes every engine crash that runs it.
const CrashMarker = "[[crash-engine]]"

// bytesPerToken turns the length of a prompt into tokens.
const bytesPerToken = 4

// vocabulary holds the words of generated answers; its size is a power of two.
var vocabulary = [...]string{
	"check ", "the ", "valve ", "and ", "close ", "tap ", "before ", "element ",
	"tile ", "order ", "within ", "warranty ", "days ", "drain ", "tank ", "supplier ",
}

// answer is the answer that every engine gives to one prompt.
type answer struct {
	seed  uint64
	total int
}

// answerTo returns the answer to a prompt: between half of maxTokens and
// maxTokens long, and a function of the two alone.
func answerTo(prompt string, maxTokens int) answer {
	seed := xxhash.Sum64String(prompt)
	spread := uint64(maxTokens/2 + 1)
	return answer{seed: seed, total: maxTokens - int(seed%spread)}
}

// token returns token i. Every eighth names its answer and its place, so that
// a token of another answer, a lost or a doubled one shows.
func (a answer) token(i int) string {
	if i%8 == 0 {
		return strconv.FormatUint(a.seed&0xffff, 16) + "-" + strconv.Itoa(i) + " "
	}
	return vocabulary[(a.seed>>(uint(i)%48)+uint64(i))%uint64(len(vocabulary))]
}

// AnswerTokens returns the tokens that an engine generates for a prompt, so
// that a caller can tell whether it got the whole answer to its own request.
func AnswerTokens(prompt string, maxTokens int) []string {
	a := answerTo(prompt, maxTokens)
	tokens := make([]string, a.total)
	for i := range tokens {
		tokens[i] = a.token(i)
	}
	return tokens
}

// AnswerText returns the joined AnswerTokens.
func AnswerText(prompt string, maxTokens int) string {
	return strings.Join(AnswerTokens(prompt, maxTokens), "")
}

// promptTokens returns how many tokens a prompt has, at least one.
func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }
