// Package metricdoc holds the test of docs/METRICS.md against the source.
package metricdoc

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// source is what one package publishes.
type source struct {
	vars  map[string]string // Go variable to expvar name
	names map[string]bool   // as on the page: "name", "map.key", "map.prefix_<>"
}

// scan parses every package of the code that the binaries are built of.
func scan(t *testing.T) map[string]*source {
	t.Helper()
	files := map[string][]*ast.File{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		files[filepath.Dir(path)] = append(files[filepath.Dir(path)], f)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]*source{}
	for _, list := range files {
		s := &source{vars: map[string]string{}, names: map[string]bool{}}
		for _, f := range list {
			ast.Inspect(f, s.published)
		}
		for _, f := range list {
			ast.Inspect(f, s.keys)
		}
		if len(s.names) > 0 {
			out[list[0].Name.Name] = s
		}
	}
	return out
}

// published notes the variables made by expvar.NewX("name").
func (s *source) published(n ast.Node) bool {
	spec, ok := n.(*ast.ValueSpec)
	if !ok {
		return true
	}
	for i, v := range spec.Values {
		fun, args := call(v)
		if strings.HasPrefix(fun, "expvar.New") && i < len(spec.Names) {
			name := pattern(args[0])
			s.vars[spec.Names[i].Name] = name
			if fun != "expvar.NewMap" {
				s.names[name] = true
			}
		}
	}
	return true
}

// keys notes what is added to the maps.
func (s *source) keys(n ast.Node) bool {
	expr, ok := n.(ast.Expr)
	if !ok {
		return true
	}
	fun, args := call(expr)
	variable, method, _ := strings.Cut(fun, ".")
	if name := s.vars[variable]; name != "" && len(args) == 2 && strings.HasPrefix(method, "Add") {
		s.names[name+"."+pattern(args[0])] = true
	}
	return true
}

func call(e ast.Expr) (string, []ast.Expr) {
	c, ok := e.(*ast.CallExpr)
	if !ok {
		return "", nil
	}
	sel, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", nil
	}
	x, ok := sel.X.(*ast.Ident)
	if !ok {
		return "", nil
	}
	return x.Name + "." + sel.Sel.Name, c.Args
}

// pattern is a constant text, with <> for what is known at run time only.
func pattern(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		s, _ := strconv.Unquote(e.Value)
		return s
	case *ast.BinaryExpr:
		return pattern(e.X) + pattern(e.Y)
	}
	return "<>"
}

var (
	row    = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| [^|]+ \\|$")
	filled = regexp.MustCompile("<[^>]*>")
	snake  = regexp.MustCompile(`^[a-z][a-z0-9_]*$|^<>$|^[a-z][a-z0-9_]*_<>$`)
)

// parts are the packages whose metrics bear another name than the package.
var parts = map[string]string{"follow": "control"}

// TestPageMatchesTheSource: an operator looks up a number of /debug/vars and
// finds it on the page, with its unit; the page names none that isn't there.
func TestPageMatchesTheSource(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		documented[filled.ReplaceAllString(m[1], "<>")] = true
	}
	published := map[string]bool{"cmdline": true, "memstats": true} // by expvar itself
	for _, s := range scan(t) {
		maps.Copy(published, s.names)
	}
	for _, name := range slices.Sorted(maps.Keys(published)) {
		if !documented[name] {
			t.Errorf("%s is published and not on the page", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(documented)) {
		if !published[name] {
			t.Errorf("%s is on the page and not published", name)
		}
	}
}

// TestNames: a metric's name begins with its part and is in snake case.
func TestNames(t *testing.T) {
	for pkg, s := range scan(t) {
		part := pkg
		if p := parts[pkg]; p != "" {
			part = p
		}
		for name := range s.names {
			first, key, isMap := strings.Cut(name, ".")
			if first != part && !strings.HasPrefix(first, part+"_") {
				t.Errorf("%s: %s doesn't begin with %s", pkg, name, part)
			}
			if !snake.MatchString(first) || isMap && !snake.MatchString(key) {
				t.Errorf("%s: %s isn't in snake case", pkg, name)
			}
		}
	}
}
