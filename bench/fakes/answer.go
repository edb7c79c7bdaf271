package fakes

import (
	"encoding/hex"
	"strconv"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const endMarker = "[end "

var (
	englishWords = strings.Fields("the member states that wages for the month were withheld without notice and " +
		"asks the officer to order their payment with interest within fifteen days of this letter")
	malayalamWords = strings.Fields("അംഗത്തിന്റെ വേതനം അറിയിപ്പില്ലാതെ തടഞ്ഞുവെച്ചു അത് പലിശ സഹിതം " +
		"പതിനഞ്ച് ദിവസത്തിനകം നൽകാൻ തൊഴിൽ ഓഫീസർ ഉത്തരവിടണമെന്ന് അപേക്ഷിക്കുന്നു")
)

// PromptDigest returns the digest that identifies a prompt in answers.
func PromptDigest(prompt string) string {
	d := manifest.Sum([]byte(prompt))
	return hex.EncodeToString(d[:8])
}

// answerTokens returns the tokens of the answer to a prompt: a header with the
// prompt's digest and the version, n words in the prompt's language, and a trailer
// with the number of words.
func answerTokens(prompt, version string, n int) []string {
	words := englishWords
	if strings.ContainsFunc(prompt, func(r rune) bool { return unicode.Is(unicode.Malayalam, r) }) {
		words = malayalamWords
	}
	list := make([]string, 0, n+2)
	list = append(list, "[for "+PromptDigest(prompt)+" version "+version+"] ")
	for i := range n {
		list = append(list, words[i%len(words)]+" ")
	}
	return append(list, endMarker+strconv.Itoa(n)+"]")
}

// Answer is what CheckAnswer reads from a complete answer.
type Answer struct {
	Version string
	Tokens  int
}

// Errors of CheckAnswer.
var (
	// ErrTruncated means that the answer is incomplete.
	ErrTruncated = errors.New("the answer is truncated")
	// ErrWrongPrompt means that the answer belongs to another request.
	ErrWrongPrompt = errors.New("the answer is for another prompt")
	// ErrCorrupt means that the answer contains text that no engine sent.
	ErrCorrupt = errors.New("the answer is corrupt")
)

// CheckAnswer verifies that text is the complete answer to a prompt.
func CheckAnswer(prompt, text string) (Answer, error) {
	var a Answer
	head, body, ok := strings.Cut(text, "] ")
	if !ok {
		return a, ErrTruncated
	}
	fields := strings.Fields(strings.TrimPrefix(head, "["))
	if len(fields) != 4 || fields[0] != "for" {
		return a, ErrCorrupt
	}
	if fields[1] != PromptDigest(prompt) {
		return a, ErrWrongPrompt
	}
	a.Version = fields[3]
	_, end, ok := strings.Cut(body, endMarker)
	if !ok || !strings.HasSuffix(end, "]") {
		return a, ErrTruncated
	}
	n, err := strconv.Atoi(strings.TrimSuffix(end, "]"))
	if err != nil {
		return a, ErrCorrupt
	}
	a.Tokens = n
	if strings.Join(answerTokens(prompt, a.Version, n), "") != text {
		return a, ErrCorrupt
	}
	return a, nil
}
