package sourcecheck

import (
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// bannedTerms maps terms private to this project to the customary terms that replace them.
var bannedTerms = map[string]string{
	"news":         "updates, changes",
	"rescue":       "re-attachment",
	"last resort":  "fallback",
	"by lot":       "at random",
	"turned away":  "rejected",
	"nobody":       "no node, no caller",
	"whoever":      "the node or caller that",
	"lately":       "recently",
	"for ever":     "permanently",
	"in vain":      "without effect",
	"doomed":       "cannot meet its deadline",
	"guilty":       "confirmed crasher",
	"forgets":      "removes, expires",
	"heard of":     "received, reported",
	"stands still": "is paused",
}

// bannedWord matches a banned term, also where a line break separates its words.
var bannedWord = func() *regexp.Regexp {
	var words []string
	for word := range bannedTerms {
		words = append(words, strings.ReplaceAll(word, " ", `\s+`))
	}
	return regexp.MustCompile(`(?i)\b(` + strings.Join(words, "|") + `)\b`)
}()

// Guards against comments that use project-private terms, which a newcomer would have to learn.
func TestCommentsUseTheTermsOfTheField(t *testing.T) {
	for _, s := range sources(t) {
		if strings.HasSuffix(s.path, "internal/sourcecheck/words_test.go") {
			continue
		}
		for _, group := range s.file.Comments {
			word := strings.ToLower(strings.Join(strings.Fields(bannedWord.FindString(group.Text())), " "))
			must.EqOp(t, "", word, must.Sprintf("%s:%d: say %q", s.path, s.line(group.Pos()), bannedTerms[word]))
		}
	}
}

// Guards against a check that does not find a banned term, or reports a word that only contains one.
func TestWordCheckReportsBannedTerms(t *testing.T) {
	for word := range bannedTerms {
		must.EqOp(t, word, bannedWord.FindString("// a "+word+" is here"))
	}
	must.EqOp(t, "", bannedWord.FindString("// newsworthy, rescued"))
}
