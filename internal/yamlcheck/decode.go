package yamlcheck

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/pomelospool/pomelospool/code"
)

var durationType = reflect.TypeFor[time.Duration]()

// value decodes n into v, which must be settable.
func (f *File) value(path string, n *yaml.Node, v reflect.Value) {
	if _, known := f.at[path]; !known || path == "" {
		f.at[path] = position{n.Line, n.Column}
	}
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		// Aliases are never followed: with them a small file can expand
		// without bound, and its check would exhaust the process's memory.
		f.Report(path, code.DocSyntax, "an anchor or alias", "write the value out")
		return
	}
	if n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" {
		f.Report(path, code.DocWrongType, "has no value", "give "+describe(v.Type())+" or remove the key")
		return
	}
	switch {
	case v.Type() == durationType:
		f.duration(path, n, v)
	case v.Kind() == reflect.Struct:
		f.structure(path, n, v)
	case v.Kind() == reflect.Slice:
		f.list(path, n, v)
	case v.Kind() == reflect.Map:
		f.mapping(path, n, v)
	default:
		f.scalar(path, n, v)
	}
}

func (f *File) structure(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		f.wrongType(path, n, v)
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, child := n.Content[i], n.Content[i+1]
		full := join(path, key.Value)
		if !f.addKey(full, key, seen) {
			continue
		}
		index, ok := fields[key.Value]
		if !ok {
			f.unknown(full, key.Value, v.Type())
			continue
		}
		f.value(full, child, v.Field(index))
	}
}

func (f *File) mapping(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		f.wrongType(path, n, v)
		return
	}
	seen := make(map[string]bool)
	out := reflect.MakeMap(v.Type())
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, child := n.Content[i], n.Content[i+1]
		full := join(path, key.Value)
		if !f.addKey(full, key, seen) {
			continue
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		f.value(full, child, elem)
		out.SetMapIndex(reflect.ValueOf(key.Value), elem)
	}
	if out.Len() > 0 {
		v.Set(out)
	}
}

// addKey records the position of a key. It reports a problem if the key isn't
// plain text or is a duplicate. It returns whether the value should be decoded.
func (f *File) addKey(full string, key *yaml.Node, seen map[string]bool) bool {
	if key.Kind != yaml.ScalarNode || key.Anchor != "" {
		f.at[full] = position{key.Line, key.Column}
		f.Report(full, code.DocSyntax, "the key is not plain text", "give a name")
		return false
	}
	if seen[key.Value] {
		first := f.at[full]
		f.at[full] = position{key.Line, key.Column}
		f.Report(full, code.DocDuplicate, fmt.Sprintf("stands twice, first on line %d", first.line), "remove one of the two")
		return false
	}
	seen[key.Value] = true
	f.at[full] = position{key.Line, key.Column}
	return true
}

func (f *File) list(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		f.wrongType(path, n, v)
		return
	}
	if len(n.Content) == 0 {
		v.SetZero()
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, child := range n.Content {
		f.value(fmt.Sprintf("%s[%d]", path, i), child, out.Index(i))
	}
	v.Set(out)
}

func (f *File) duration(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		f.wrongType(path, n, v)
		return
	}
	if tag := n.ShortTag(); tag == "!!int" || tag == "!!float" {
		f.Report(path, code.DocWrongType, fmt.Sprintf("%s has no unit", n.Value), `give a duration such as "1.6s"`)
		return
	}
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		f.wrongType(path, n, v)
		return
	}
	v.SetInt(int64(d))
}

func (f *File) scalar(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		f.wrongType(path, n, v)
		return
	}
	tag := n.ShortTag()
	switch v.Kind() {
	case reflect.String:
		if tag != "!!str" {
			f.Report(path, code.DocWrongType, fmt.Sprintf("%s is %s", n.Value, tagName(n)), fmt.Sprintf("put it in quotes: %q", n.Value))
			return
		}
	case reflect.Bool:
		if tag != "!!bool" {
			f.wrongType(path, n, v)
			return
		}
	case reflect.Float64:
		if tag != "!!float" && tag != "!!int" {
			f.wrongType(path, n, v)
			return
		}
	default:
		if tag != "!!int" {
			f.wrongType(path, n, v)
			return
		}
	}
	if n.Decode(v.Addr().Interface()) != nil {
		f.wrongType(path, n, v)
		return
	}
	if v.Kind() == reflect.Float64 && (math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0)) {
		f.Report(path, code.DocOutOfRange, n.Value+" is not a finite number", "give a finite number")
		v.SetZero()
	}
}

func (f *File) wrongType(path string, n *yaml.Node, v reflect.Value) {
	f.Report(path, code.DocWrongType, "is "+nodeName(n), "give "+describe(v.Type()))
}

func (f *File) unknown(full, key string, t reflect.Type) {
	known := namesOf(t)
	right := "known here: " + strings.Join(known, ", ")
	if near := nearest(key, known); near != "" {
		right = fmt.Sprintf("did you mean %s?", near)
	}
	f.Report(full, code.DocUnknownKey, "unknown key", right)
}

func nodeName(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return fmt.Sprintf("%s, %q", tagName(n), n.Value)
	}
}

func tagName(n *yaml.Node) string {
	switch n.ShortTag() {
	case "!!str":
		return "text"
	case "!!int":
		return "a whole number"
	case "!!float":
		return "a number"
	case "!!bool":
		return "a boolean"
	case "!!timestamp":
		return "a date"
	default:
		return "of type " + n.ShortTag()
	}
}

// describe returns a description of the values of type t.
func describe(t reflect.Type) string {
	if t == durationType {
		return `a duration such as "1.6s"`
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
