package policy_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/policy"
)

// Guards against an example file that differs from the template of the same name in the library.
// Operators publish the templates from these files.
func TestTemplateFilesMatchLibrary(t *testing.T) {
	for _, want := range policy.Library() {
		doc, err := os.ReadFile("../../examples/templates/" + want.Name + ".json")
		must.NoError(t, err)
		got, err := policy.DecodeTemplate(doc)
		must.NoError(t, err)
		must.Eq(t, &want, got)
	}
}
