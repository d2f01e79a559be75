// Package proofdoc tests that docs/PROOFS.md matches the source.
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

// testFunc is one test function, fuzz target or benchmark.
type testFunc struct {
	dir         string
	hasSubtests bool
	literals    map[string]bool // string literals of its body and of the package's variables and constants
}

// scan parses all test files and returns their test functions by name. Functions
// of the same name in several packages share one entry.
func scan(t *testing.T) map[string][]testFunc {
	t.Helper()
	out := map[string][]testFunc{}
	for dir, files := range parseAll(t, func(path string) bool { return strings.HasSuffix(path, "_test.go") }) {
		tables := map[string]bool{}
		for _, f := range files {
			for _, d := range f.Decls {
				if _, ok := d.(*ast.GenDecl); ok {
					maps.Copy(tables, stringLiterals(d))
				}
			}
		}
		for _, f := range files {
			for _, d := range f.Decls {
				fn, ok := d.(*ast.FuncDecl)
				if !ok || fn.Recv != nil || !testName.MatchString(fn.Name.Name) {
					continue
				}
				p := testFunc{dir: dir, hasSubtests: callArguments(fn)["Run"] != nil, literals: stringLiterals(fn)}
				maps.Copy(p.literals, tables)
				out[fn.Name.Name] = append(out[fn.Name.Name], p)
			}
		}
	}
	return out
}

// parseAll parses the Go files whose path want accepts. It returns them by
// directory relative to the root.
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

// stringLiterals returns the string literals below n, with underscores in place of
// spaces, as package testing writes the names of sub-tests.
func stringLiterals(n ast.Node) map[string]bool {
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

// callArguments returns the first string literal among the arguments of each call
// below n, or "" without one, by the unqualified name of the function.
func callArguments(n ast.Node) map[string][]string {
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
	testName       = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]`)
	unquotedTest   = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w*`)
	quotedTest     = regexp.MustCompile("`([a-z0-9/]+)\\.((?:Test|Fuzz|Benchmark)[A-Z]\\w*)(?:([/:])([^`]+))?`")
	corpusRow      = regexp.MustCompile("(?m)^\\| `[a-z]+\\.(Fuzz\\w+)` \\| (\\d+) \\|")
	link           = regexp.MustCompile(`\]\(([^)#:]+)\)`)
	makeMention    = regexp.MustCompile("`make ([a-z]+)")
	commandMention = regexp.MustCompile("`(pomelos[a-z]+) ([a-z][a-z-]*)")
	goTestMention  = regexp.MustCompile("`go test ([^`]+)`")
	makeGoal       = regexp.MustCompile(`(?m)^([a-z]+):`)
	commandTag     = regexp.MustCompile(`command:"([a-z]+)"`)
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

// TestNamedTestsExist guards against tests that were renamed without the page, for
// which go test reports "no tests to run". Each name on the page must be a
// function of its package. A part after the name must be a sub-test ("/") or, for
// a table without sub-tests, a case (":").
func TestNamedTestsExist(t *testing.T) {
	source, text := scan(t), page(t)
	for _, m := range quotedTest.FindAllStringSubmatch(text, -1) {
		mention, pkg, name, kind, sub := m[0], m[1], m[2], m[3], m[4]
		i := slices.IndexFunc(source[name], func(p testFunc) bool {
			return p.dir == pkg || strings.HasSuffix(p.dir, "/"+pkg)
		})
		if i < 0 {
			t.Errorf("%s is on the page but not in the source", mention)
			continue
		}
		p := source[name][i]
		if kind != "" && (kind == "/") != p.hasSubtests {
			t.Errorf("%s: sub-tests must follow a slash, cases of other tables a colon", mention)
		}
		for _, part := range strings.Split(sub, "/") {
			if part != "" && !p.literals[strings.ReplaceAll(part, " ", "_")] {
				t.Errorf("%s: the test has no %q", mention, part)
			}
		}
	}
	for _, name := range unquotedTest.FindAllString(quotedTest.ReplaceAllString(text, ""), -1) {
		t.Errorf("%s is on the page, but not as package.Name in backquotes", name)
	}
}

// TestFuzzTargetsAreListed checks that the page lists each fuzz target with the
// number of inputs in its corpus, and names each benchmark.
func TestFuzzTargetsAreListed(t *testing.T) {
	text := page(t)
	inputs := map[string]string{}
	for _, m := range corpusRow.FindAllStringSubmatch(text, -1) {
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

// TestNamedCommandsExist checks that the make targets, sub-commands, packages and
// pages named by the page exist.
func TestNamedCommandsExist(t *testing.T) {
	text := page(t)
	goals := map[string]bool{}
	for _, m := range makeGoal.FindAllStringSubmatch(read(t, "Makefile"), -1) {
		goals[m[1]] = true
	}
	for _, m := range makeMention.FindAllStringSubmatch(text, -1) {
		if !goals[m[1]] {
			t.Errorf("no target %s in the Makefile", m[1])
		}
	}
	commands := subCommands(t)
	for _, m := range commandMention.FindAllStringSubmatch(text, -1) {
		if !commands[m[1]][m[2]] {
			t.Errorf("%s has no sub-command %s", m[1], m[2])
		}
	}
	for _, m := range goTestMention.FindAllStringSubmatch(text, -1) {
		for _, word := range strings.Fields(m[1]) {
			if dir, ok := strings.CutPrefix(word, "./"); ok {
				checkExists(t, strings.TrimSuffix(dir, "..."))
			}
		}
	}
	for _, m := range link.FindAllStringSubmatch(text, -1) {
		checkExists(t, filepath.Join("docs", m[1]))
	}
}

func checkExists(t *testing.T, path string) {
	t.Helper()
	if _, err := os.Stat(filepath.Join(root, path)); err != nil {
		t.Errorf("on the page: %v", err)
	}
}

// subCommands returns the sub-commands of each command. It finds them by the calls
// that add them and by the struct tags of go-flags.
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
			for _, c := range append(callArguments(f)["add"], callArguments(f)["AddCommand"]...) {
				out[name][c] = true
			}
			for tag := range stringLiterals(f) {
				for _, m := range commandTag.FindAllStringSubmatch(tag, -1) {
					out[name][m[1]] = true
				}
			}
		}
	}
	return out
}
