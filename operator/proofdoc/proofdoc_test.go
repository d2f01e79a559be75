// Package proofdoc holds the test of docs/PROOFS.md against the source.
package proofdoc

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

// proof is one test function, fuzz target or benchmark.
type proof struct {
	dir  string
	subs bool            // it runs sub-tests
	said map[string]bool // the texts in its body and in the package's tables
}

// scan parses all test files and returns their functions by name; functions
// of one name in several packages stand side by side.
func scan(t *testing.T) map[string][]proof {
	t.Helper()
	out := map[string][]proof{}
	for dir, files := range parseAll(t, func(path string) bool { return strings.HasSuffix(path, "_test.go") }) {
		tables := map[string]bool{}
		for _, f := range files {
			for _, d := range f.Decls {
				if _, ok := d.(*ast.GenDecl); ok {
					maps.Copy(tables, texts(d))
				}
			}
		}
		for _, f := range files {
			for _, d := range f.Decls {
				fn, ok := d.(*ast.FuncDecl)
				if !ok || fn.Recv != nil || !named.MatchString(fn.Name.Name) {
					continue
				}
				p := proof{dir: dir, subs: calls(fn)["Run"] != nil, said: texts(fn)}
				maps.Copy(p.said, tables)
				out[fn.Name.Name] = append(out[fn.Name.Name], p)
			}
		}
	}
	return out
}

// parseAll parses the Go files that want takes, by directory below the root.
func parseAll(t *testing.T, want func(path string) bool) map[string][]*ast.File {
	t.Helper()
	out := map[string][]*ast.File{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" || !want(path) {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		dir, _ := filepath.Rel(root, filepath.Dir(path))
		out[dir] = append(out[dir], f)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// texts are the string literals below n, as testing writes names of sub-tests.
func texts(n ast.Node) map[string]bool {
	out := map[string]bool{}
	ast.Inspect(n, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			s, _ := strconv.Unquote(lit.Value)
			out[strings.ReplaceAll(s, " ", "_")] = true
		}
		return true
	})
	return out
}

// calls are the first constant texts that each function below n is called
// with, by the function's last name.
func calls(n ast.Node) map[string][]string {
	out := map[string][]string{}
	ast.Inspect(n, func(n ast.Node) bool {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		name := ""
		switch f := c.Fun.(type) {
		case *ast.Ident:
			name = f.Name
		case *ast.SelectorExpr:
			name = f.Sel.Name
		}
		text := ""
		for _, a := range c.Args {
			if lit, ok := a.(*ast.BasicLit); ok && lit.Kind == token.STRING && text == "" {
				text, _ = strconv.Unquote(lit.Value)
			}
		}
		out[name] = append(out[name], text)
		return true
	})
	return out
}

var (
	named  = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]`)
	bare   = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w*`)
	quoted = regexp.MustCompile("`([a-z0-9/]+)\\.((?:Test|Fuzz|Benchmark)[A-Z]\\w*)(?:([/:])([^`]+))?`")
	corpus = regexp.MustCompile("(?m)^\\| `[a-z]+\\.(Fuzz\\w+)` \\| (\\d+) \\|")
	link   = regexp.MustCompile(`\]\(([^)#:]+)\)`)
	target = regexp.MustCompile("`make ([a-z]+)")
	tool   = regexp.MustCompile("`(pomelos[a-z]+) ([a-z][a-z-]*)")
	gotest = regexp.MustCompile("`go test ([^`]+)`")
	goal   = regexp.MustCompile(`(?m)^([a-z]+):`)
	tagged = regexp.MustCompile(`command:"([a-z]+)"`)
)

func page(t *testing.T) string {
	t.Helper()
	return read(t, filepath.Join("docs", "PROOFS.md"))
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestNamedTestsExist: a reader runs the test that the page names for a
// promise, and go test says "no tests to run", because it was renamed. Each
// name must be a function of that package, and what follows it a sub-test
// ("/") or, where a table runs without sub-tests, a case (":").
func TestNamedTestsExist(t *testing.T) {
	source, text := scan(t), page(t)
	for _, m := range quoted.FindAllStringSubmatch(text, -1) {
		whole, pkg, name, kind, sub := m[0], m[1], m[2], m[3], m[4]
		i := slices.IndexFunc(source[name], func(p proof) bool {
			return p.dir == pkg || strings.HasSuffix(p.dir, "/"+pkg)
		})
		if i < 0 {
			t.Errorf("%s is on the page and not in the source", whole)
			continue
		}
		p := source[name][i]
		if kind != "" && (kind == "/") != p.subs {
			t.Errorf("%s: sub-tests stand after a slash, cases of other tables after a colon", whole)
		}
		for _, part := range strings.Split(sub, "/") {
			if part != "" && !p.said[strings.ReplaceAll(part, " ", "_")] {
				t.Errorf("%s: the test has no %q", whole, part)
			}
		}
	}
	for _, name := range bare.FindAllString(quoted.ReplaceAllString(text, ""), -1) {
		t.Errorf("%s stands on the page, but not as package.Name in backquotes", name)
	}
}

// TestFuzzTargetsAreListed: the table of fuzz targets names each one with the
// number of inputs of its corpus, and each benchmark stands on the page.
func TestFuzzTargetsAreListed(t *testing.T) {
	text := page(t)
	inputs := map[string]string{}
	for _, m := range corpus.FindAllStringSubmatch(text, -1) {
		inputs[m[1]] = m[2]
	}
	for name, list := range scan(t) {
		switch {
		case strings.HasPrefix(name, "Fuzz"):
			files, _ := filepath.Glob(filepath.Join(root, list[0].dir, "testdata", "fuzz", name, "*"))
			if n := strconv.Itoa(len(files)); inputs[name] != n {
				t.Errorf("%s has %s inputs, the page says %q", name, n, inputs[name])
			}
		case strings.HasPrefix(name, "Benchmark") && !strings.Contains(text, "."+name+"`"):
			t.Errorf("%s is not on the page", name)
		}
	}
}

// TestNamedCommandsExist: the make targets, sub-commands, packages and pages
// that the page names are there.
func TestNamedCommandsExist(t *testing.T) {
	text := page(t)
	goals := map[string]bool{}
	for _, m := range goal.FindAllStringSubmatch(read(t, "Makefile"), -1) {
		goals[m[1]] = true
	}
	for _, m := range target.FindAllStringSubmatch(text, -1) {
		if !goals[m[1]] {
			t.Errorf("no target %s in the Makefile", m[1])
		}
	}
	commands := subCommands(t)
	for _, m := range tool.FindAllStringSubmatch(text, -1) {
		if !commands[m[1]][m[2]] {
			t.Errorf("%s has no sub-command %s", m[1], m[2])
		}
	}
	for _, m := range gotest.FindAllStringSubmatch(text, -1) {
		for _, word := range strings.Fields(m[1]) {
			if dir, ok := strings.CutPrefix(word, "./"); ok {
				exists(t, strings.TrimSuffix(dir, "..."))
			}
		}
	}
	for _, m := range link.FindAllStringSubmatch(text, -1) {
		exists(t, filepath.Join("docs", m[1]))
	}
}

func exists(t *testing.T, path string) {
	t.Helper()
	if _, err := os.Stat(filepath.Join(root, path)); err != nil {
		t.Errorf("on the page: %v", err)
	}
}

// subCommands are those of each command, by the calls that add them or by the
// tags of go-flags.
func subCommands(t *testing.T) map[string]map[string]bool {
	t.Helper()
	out := map[string]map[string]bool{}
	for dir, files := range parseAll(t, func(path string) bool { return !strings.HasSuffix(path, "_test.go") }) {
		name, ok := strings.CutPrefix(dir, "cmd/")
		if dir == "operator/ctl" {
			name, ok = "pomelosctl", true
		}
		if !ok {
			continue
		}
		if out[name] == nil {
			out[name] = map[string]bool{}
		}
		for _, f := range files {
			for _, c := range append(calls(f)["add"], calls(f)["AddCommand"]...) {
				out[name][c] = true
			}
			for tag := range texts(f) {
				for _, m := range tagged.FindAllStringSubmatch(tag, -1) {
					out[name][m[1]] = true
				}
			}
		}
	}
	return out
}
