package upkeep

import (
	"path"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "github.com/galenagrade/galenagrade/"

// ownInterface are the packages of the product's own interface, with its control
// plane. What runs on the operators' platform has none of them.
var ownInterface = []string{"internal/control", "internal/lease", "internal/membership", "internal/server", "internal/admin"}

// importsOf returns which packages of the module each package imports, tests aside.
func importsOf(t *testing.T) map[string]map[string]bool {
	imports := map[string]map[string]bool{}
	for _, s := range sources(t) {
		if strings.HasSuffix(s.path, "_test.go") {
			continue
		}
		dir := path.Dir(s.path)
		if imports[dir] == nil {
			imports[dir] = map[string]bool{}
		}
		for _, spec := range s.file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			must.NoError(t, err)
			if own, ok := strings.CutPrefix(imported, module); ok {
				imports[dir][own] = true
			}
		}
	}
	return imports
}

// Guards against the request's path depending on the control plane of the own interface.
func TestMeshHasNothingOfTheOwnInterface(t *testing.T) {
	imports := importsOf(t)
	reached := map[string]string{"internal/mesh": "internal/mesh", "platform": "platform"}
	work := []string{"internal/mesh", "platform"}
	for len(work) > 0 {
		from := work[0]
		work = work[1:]
		for to := range imports[from] {
			if _, known := reached[to]; !known {
				reached[to] = reached[from] + " -> " + to
				work = append(work, to)
			}
		}
	}
	must.MapContainsKey(t, reached, "internal/node")
	for _, pkg := range ownInterface {
		must.MapContainsKey(t, imports, pkg)
		must.EqOp(t, "", reached[pkg])
	}
}
