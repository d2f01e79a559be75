package yamlcheck

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/pomelospool/pomelospool/code"
)

// File is a decoded YAML file with the positions of its keys and the problems
// found so far. It is not safe for concurrent use.
type File struct {
	name     string
	at       map[string]position
	problems []*Problem
}

type position struct{ line, column int }

var firstPosition = position{line: 1, column: 1}

// Decode reads data into out, a pointer to a struct with yaml tags that holds
// the defaults. Fields whose keys are missing in the file keep their defaults.
func Decode(name string, data []byte, maxBytes int, out any) *File {
	f := &File{name: name, at: map[string]position{"": firstPosition}}
	if len(data) > maxBytes {
		f.Report("", code.DocTooLarge, fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d", maxBytes))
		return f
	}
	root := f.parse(data)
	if root == nil {
		return f
	}
	f.value("", root, reflect.ValueOf(out).Elem())
	return f
}

// Has reports whether the file has the key at path, such as targets[2].addr.
func (f *File) Has(path string) bool {
	_, ok := f.at[path]
	return ok
}

// Report adds a problem at path. If the file lacks the path, the problem gets
// the position of the closest enclosing key.
func (f *File) Report(path string, c code.Code, what, right string) {
	pos := f.position(path)
	f.problems = append(f.problems, &Problem{
		File:     f.name,
		Line:     pos.line,
		Column:   pos.column,
		Key:      path,
		Message:  what,
		Expected: right,
		Code:     c,
	})
}

// Failed reports whether any problem was found.
func (f *File) Failed() bool { return len(f.problems) > 0 }

// Problems returns the problems ordered by their position in the file.
func (f *File) Problems() []*Problem {
	sort.SliceStable(f.problems, func(i, j int) bool {
		a, b := f.problems[i], f.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return f.problems
}

func (f *File) position(path string) position {
	for {
		if pos, ok := f.at[path]; ok {
			return pos
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return f.at[""]
		}
		path = path[:cut]
	}
}

// parse returns the root node of the only YAML document in data, or nil after
// reporting a problem.
func (f *File) parse(data []byte) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, more yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		f.Report("", code.DocMissing, "the file is empty", "give the keys of a service document or of daemon settings")
		return nil
	}
	if err != nil {
		f.syntax(err)
		return nil
	}
	switch err := dec.Decode(&more); {
	case err == nil:
		f.at[""] = position{more.Line, more.Column}
		f.Report("", code.DocSyntax, "a second YAML document begins here", "one document a file")
		return nil
	case !errors.Is(err, io.EOF):
		f.syntax(err)
		return nil
	}
	if len(doc.Content) != 1 {
		f.Report("", code.DocMissing, "the file is empty", "give the keys of a service document or of daemon settings")
		return nil
	}
	return doc.Content[0]
}

var syntaxLine = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?(.*)`)

// syntax reports an error of the YAML parser, whose text contains the line.
func (f *File) syntax(err error) {
	text := strings.ReplaceAll(err.Error(), "\n", " ")
	m := syntaxLine.FindStringSubmatch(text)
	if line, convErr := strconv.Atoi(m[1]); convErr == nil {
		f.at[""] = position{line, 1}
	}
	f.Report("", code.DocSyntax, "not valid YAML: "+m[2], "correct the syntax on this line or the next")
}
