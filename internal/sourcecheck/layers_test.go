package sourcecheck

import (
	"path"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "github.com/galenagrade/galenagrade/"

// ownInterfacePackages are packages of galenad run: the product's own interface, in which callers
// name the workspace and service of each request, and its control plane. The mesh, which runs on
// the operators' platform, must not import them.
var ownInterfacePackages = []string{"internal/control", "internal/lease", "internal/membership", "internal/server", "internal/admin"}

// importsOf returns the packages of this module that each package imports, by folder. Test files
// are not counted.
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

// Guards against the request path of the mesh depending, directly or through other packages, on the
// control plane of the own interface. The message of a failure shows the chain of imports.
func TestMeshDoesNotImportOwnInterface(t *testing.T) {
	imports := importsOf(t)
	importChain := map[string]string{"internal/mesh": "internal/mesh", "platform": "platform"}
	queue := []string{"internal/mesh", "platform"}
	for len(queue) > 0 {
		from := queue[0]
		queue = queue[1:]
		for to := range imports[from] {
			if _, known := importChain[to]; !known {
				importChain[to] = importChain[from] + " -> " + to
				queue = append(queue, to)
			}
		}
	}
	must.MapContainsKey(t, importChain, "internal/node")
	for _, pkg := range ownInterfacePackages {
		must.MapContainsKey(t, imports, pkg)
		must.EqOp(t, "", importChain[pkg])
	}
}

// recordsImports are the packages of this module that internal/records may import. What else it needs of
// a node, the mesh gives it.
var recordsImports = map[string]bool{"internal/fleet": true, "internal/wait": true}

// Guards against the way of records and routes depending on the node, its calls or its settings, so that
// it could no longer be tested alone.
func TestRecordsImportNothingOfTheNode(t *testing.T) {
	imports := importsOf(t)["internal/records"]
	must.MapContainsKey(t, imports, "internal/fleet")
	for imported := range imports {
		must.True(t, recordsImports[imported], must.Sprint(imported))
	}
}
