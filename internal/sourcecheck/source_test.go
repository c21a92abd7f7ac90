package sourcecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = "../.."

// source is a parsed Go file.
type source struct {
	// path is relative to the repository's root and uses slashes.
	path string
	fset *token.FileSet
	file *ast.File
}

func (s *source) line(pos token.Pos) int { return s.fset.Position(pos).Line }

// parse parses the file at path, relative to the root. text replaces the file's content unless it is
// nil.
func parse(t *testing.T, path string, text any) *source {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, filepath.Join(root, path), text, parser.ParseComments)
	must.NoError(t, err)
	return &source{path: filepath.ToSlash(path), fset: fset, file: file}
}

// sources returns every Go file of the repository, tests included, except generated files and hidden
// folders.
func sources(t *testing.T) []*source {
	var all []*source
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return fs.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		rel, err := filepath.Rel(root, path)
		must.NoError(t, err)
		if s := parse(t, rel, nil); !ast.IsGenerated(s.file) {
			all = append(all, s)
		}
		return nil
	})
	must.NoError(t, err)
	must.Greater(t, 50, len(all))
	return all
}
