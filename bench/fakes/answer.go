package fakes

import (
	"encoding/hex"
	"strconv"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/waxwingpost/waxwingpost/version/manifest"
)

const endMark = "[end "

var (
	englishWords = strings.Fields("the member states that wages for the month were withheld without notice and " +
		"asks the officer to order their payment with interest within fifteen days of this letter")
	malayalamWords = strings.Fields("അംഗത്തിന്റെ വേതനം അറിയിപ്പില്ലാതെ തടഞ്ഞുവെച്ചു അത് പലിശ സഹിതം " +
		"പതിനഞ്ച് ദിവസത്തിനകം നൽകാൻ തൊഴിൽ ഓഫീസർ ഉത്തരവിടണമെന്ന് അപേക്ഷിക്കുന്നു")
)

// PromptDigest names a prompt in answers.
func PromptDigest(prompt string) string {
	d := manifest.Sum([]byte(prompt))
	return hex.EncodeToString(d[:8])
}

// tokens returns the answer to a prompt, token by token: what it is for, a
// text in the prompt's language, and its own length at the end.
func tokens(prompt, version string, n int) []string {
	words := englishWords
	if strings.ContainsFunc(prompt, func(r rune) bool { return unicode.Is(unicode.Malayalam, r) }) {
		words = malayalamWords
	}
	list := make([]string, 0, n+2)
	list = append(list, "[for "+PromptDigest(prompt)+" version "+version+"] ")
	for i := range n {
		list = append(list, words[i%len(words)]+" ")
	}
	return append(list, endMark+strconv.Itoa(n)+"]")
}

// Answer is what CheckAnswer read from a whole answer.
type Answer struct {
	Version string
	Tokens  int
}

// Faults of an answer.
var (
	// ErrShort: the answer is not whole.
	ErrShort = errors.New("the answer is short")
	// ErrCrossed: the answer belongs to another request.
	ErrCrossed = errors.New("the answer is for another prompt")
	// ErrGarbled: the answer holds what no engine sent.
	ErrGarbled = errors.New("the answer is garbled")
)

// CheckAnswer judges the text of an answer to a prompt.
func CheckAnswer(prompt, text string) (Answer, error) {
	var a Answer
	head, body, ok := strings.Cut(text, "] ")
	if !ok {
		return a, ErrShort
	}
	fields := strings.Fields(strings.TrimPrefix(head, "["))
	if len(fields) != 4 || fields[0] != "for" {
		return a, ErrGarbled
	}
	if fields[1] != PromptDigest(prompt) {
		return a, ErrCrossed
	}
	a.Version = fields[3]
	_, end, ok := strings.Cut(body, endMark)
	if !ok || !strings.HasSuffix(end, "]") {
		return a, ErrShort
	}
	n, err := strconv.Atoi(strings.TrimSuffix(end, "]"))
	if err != nil {
		return a, ErrGarbled
	}
	a.Tokens = n
	if strings.Join(tokens(prompt, a.Version, n), "") != text {
		return a, ErrGarbled
	}
	return a, nil
}
