package yamlcheck

import (
	"reflect"
	"strings"
)

// maxDistance is the largest edit distance at which a known key is suggested
// for an unknown one.
const maxDistance = 3

// fieldsOf maps the YAML names of a struct's fields to their indices.
func fieldsOf(t reflect.Type) map[string]int {
	m := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		m[yamlName(t.Field(i))] = i
	}
	return m
}

// namesOf returns the YAML names of a struct's fields in their order.
func namesOf(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = yamlName(t.Field(i))
	}
	return names
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// nearest returns the known name with the smallest edit distance to key, or ""
// if all distances are too large.
func nearest(key string, known []string) string {
	best, bestDistance := "", min(maxDistance, len(key)/2)+1
	for _, name := range known {
		if d := distance(key, name); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// distance returns the Levenshtein distance between a and b in bytes, or just
// len(a) if a is much longer than b.
func distance(a, b string) int {
	if len(a) > 2*len(b)+maxDistance {
		return len(a)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
