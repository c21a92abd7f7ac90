package policy_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/policy"
)

// Operators publish the ready templates from files; a file must hold the
// template that the library has under its name.
func TestTemplateFilesAreTheLibrary(t *testing.T) {
	for _, want := range policy.Library() {
		doc, err := os.ReadFile("../../examples/templates/" + want.Name + ".json")
		must.NoError(t, err)
		got, err := policy.DecodeTemplate(doc)
		must.NoError(t, err)
		must.Eq(t, &want, got)
	}
}
