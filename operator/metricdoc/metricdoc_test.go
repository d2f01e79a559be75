// Package metricdoc tests that docs/METRICS.md matches the source.
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

// source holds the metrics that one package publishes.
type source struct {
	vars  map[string]string // expvar name by Go variable
	names map[string]bool   // as the page writes them: "name", "map.key", "map.prefix_<>"
}

// scan parses the Go files of all packages except tests, and returns the sources
// with metrics by package name.
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
			ast.Inspect(f, s.collectVars)
		}
		for _, f := range list {
			ast.Inspect(f, s.collectMapKeys)
		}
		if len(s.names) > 0 {
			out[list[0].Name.Name] = s
		}
	}
	return out
}

// collectVars records the variables that are created by expvar.NewX("name").
func (s *source) collectVars(n ast.Node) bool {
	spec, ok := n.(*ast.ValueSpec)
	if !ok {
		return true
	}
	for i, v := range spec.Values {
		fun, args := callOf(v)
		if strings.HasPrefix(fun, "expvar.New") && i < len(spec.Names) {
			name := namePattern(args[0])
			s.vars[spec.Names[i].Name] = name
			if fun != "expvar.NewMap" {
				s.names[name] = true
			}
		}
	}
	return true
}

// collectMapKeys records the keys that are added to expvar maps.
func (s *source) collectMapKeys(n ast.Node) bool {
	expr, ok := n.(ast.Expr)
	if !ok {
		return true
	}
	fun, args := callOf(expr)
	variable, method, _ := strings.Cut(fun, ".")
	if name := s.vars[variable]; name != "" && len(args) == 2 && strings.HasPrefix(method, "Add") {
		s.names[name+"."+namePattern(args[0])] = true
	}
	return true
}

// callOf returns the qualified name and the arguments of a call of the form
// x.f(args), or "" for other expressions.
func callOf(e ast.Expr) (string, []ast.Expr) {
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

// namePattern returns the text of e, with <> for parts that are known only at run
// time.
func namePattern(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		s, _ := strconv.Unquote(e.Value)
		return s
	case *ast.BinaryExpr:
		return namePattern(e.X) + namePattern(e.Y)
	}
	return "<>"
}

var (
	row         = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| [^|]+ \\|$")
	placeholder = regexp.MustCompile("<[^>]*>")
	snake       = regexp.MustCompile(`^[a-z][a-z0-9_]*$|^<>$|^[a-z][a-z0-9_]*_<>$`)
)

// metricPrefixes holds the metrics' prefix of packages whose metrics don't begin
// with the package name.
var metricPrefixes = map[string]string{"follow": "control"}

// TestPageMatchesTheSource checks that the page documents every metric of
// /debug/vars, with its unit, and lists no metric that isn't published.
func TestPageMatchesTheSource(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		documented[placeholder.ReplaceAllString(m[1], "<>")] = true
	}
	published := map[string]bool{"cmdline": true, "memstats": true} // published by expvar itself
	for _, s := range scan(t) {
		maps.Copy(published, s.names)
	}
	for _, name := range slices.Sorted(maps.Keys(published)) {
		if !documented[name] {
			t.Errorf("%s is published but not on the page", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(documented)) {
		if !published[name] {
			t.Errorf("%s is on the page but not published", name)
		}
	}
}

// TestNames checks that a metric's name begins with its package's prefix and is
// in snake case.
func TestNames(t *testing.T) {
	for pkg, s := range scan(t) {
		prefix := pkg
		if p := metricPrefixes[pkg]; p != "" {
			prefix = p
		}
		for name := range s.names {
			first, key, isMap := strings.Cut(name, ".")
			if first != prefix && !strings.HasPrefix(first, prefix+"_") {
				t.Errorf("%s: %s doesn't begin with %s", pkg, name, prefix)
			}
			if !snake.MatchString(first) || isMap && !snake.MatchString(key) {
				t.Errorf("%s: %s isn't in snake case", pkg, name)
			}
		}
	}
}
