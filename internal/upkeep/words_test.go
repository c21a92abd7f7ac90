package upkeep

import (
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// fieldTerms are words of our own, and what the field says in their place.
var fieldTerms = map[string]string{
	"news":        "updates, changes",
	"rescue":      "re-attachment",
	"last resort": "fallback",
	"by lot":      "at random",
	"turned away": "rejected",
}

// ownWord finds words of our own, however they are broken over lines.
var ownWord = func() *regexp.Regexp {
	var words []string
	for word := range fieldTerms {
		words = append(words, strings.ReplaceAll(word, " ", `\s+`))
	}
	return regexp.MustCompile(`(?i)\b(` + strings.Join(words, "|") + `)\b`)
}()

// Guards against words of our own that a newcomer has to learn coming back into comments.
func TestCommentsUseTheTermsOfTheField(t *testing.T) {
	for _, s := range sources(t) {
		if strings.HasSuffix(s.path, "internal/upkeep/words_test.go") {
			continue
		}
		for _, group := range s.file.Comments {
			word := strings.ToLower(strings.Join(strings.Fields(ownWord.FindString(group.Text())), " "))
			must.EqOp(t, "", word, must.Sprintf("%s:%d: say %q", s.path, s.line(group.Pos()), fieldTerms[word]))
		}
	}
}

// Guards against a check of words that finds none.
func TestWordsCheckCanFail(t *testing.T) {
	for word := range fieldTerms {
		must.EqOp(t, word, ownWord.FindString("// a "+word+" is here"))
	}
	must.EqOp(t, "", ownWord.FindString("// newsworthy, rescued"))
}
