package yamlcheck

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"
	"unicode"

	"github.com/pomelospool/pomelospool/code"
)

// maxName is the maximum length of a name, as in DNS.
const maxName = 63

// maxText is the maximum length of free text.
const maxText = 200

// Required reports each of the paths that is missing in the file.
func (f *File) Required(paths ...string) {
	for _, p := range paths {
		if !f.Has(p) {
			f.Report(p, code.DocMissing, "is missing", "add the key")
		}
	}
}

// Range reports v if it is below lo or above hi.
func Range[T cmp.Ordered](f *File, path string, v, lo, hi T) {
	if v < lo || v > hi {
		f.Report(path, code.DocOutOfRange, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("from %v to %v", lo, hi))
	}
}

// Duration reports d if it is below lo or above hi.
func (f *File) Duration(path string, d, lo, hi time.Duration) { Range(f, path, d, lo, hi) }

// OneOf reports v if it is none of the choices.
func (f *File) OneOf(path, v string, choices ...string) {
	for _, c := range choices {
		if v == c {
			return
		}
	}
	f.Report(path, code.DocOutOfRange, fmt.Sprintf("%q is not known", v), "one of "+strings.Join(choices, ", "))
}

// Name reports v unless it is a short name of letters, digits and "._-". If
// slash is set, as for names of models, "/" and ":" are allowed too.
func (f *File) Name(path, v string, slash bool) {
	right := `1 to 63 letters, digits and "._-", a letter or digit first`
	if slash {
		right = `1 to 63 letters, digits and "._-/:", a letter or digit first`
	}
	ok := len(v) >= 1 && len(v) <= maxName
	for i, r := range v {
		alnum := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		mark := strings.ContainsRune("._-", r) || slash && strings.ContainsRune("/:", r)
		ok = ok && (alnum || mark && i > 0)
	}
	if !ok {
		f.Report(path, code.DocOutOfRange, fmt.Sprintf("%q is not a name", v), right)
	}
}

// Text reports v unless it is one line of at most maxText bytes of printable
// text.
func (f *File) Text(path, v string) {
	ok := v != "" && len(v) <= maxText && strings.TrimSpace(v) == v
	for _, r := range v {
		ok = ok && unicode.IsPrint(r) && r != unicode.ReplacementChar
	}
	if !ok {
		f.Report(path, code.DocOutOfRange, fmt.Sprintf("%.40q is no usable text", v), fmt.Sprintf("1 to %d printable bytes, no blanks around them", maxText))
	}
}

// Addr reports v unless it is an IP address and a port. Port 0 is valid only if
// anyPort is set.
func (f *File) Addr(path, v string, anyPort bool) {
	ap, err := netip.ParseAddrPort(v)
	if err != nil || ap.Addr().Zone() != "" || ap.Port() == 0 && !anyPort {
		f.Report(path, code.DocOutOfRange, fmt.Sprintf("%.60q is no address", v), `give IP and port, as "10.1.2.3:8000"`)
	}
}

// URL reports v unless it is the base URL of an HTTP service.
func (f *File) URL(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		f.Report(path, code.DocOutOfRange, fmt.Sprintf("%.60q is no base URL", v), `give one as "http://10.1.2.3:9000"`)
	}
}

// Unique reports each value that occurs earlier in values. at returns the path
// of the i-th value.
func (f *File) Unique(values []string, at func(i int) string) {
	first := make(map[string]int, len(values))
	for i, v := range values {
		j, dup := first[v]
		if !dup {
			first[v] = i
			continue
		}
		f.Report(at(i), code.DocDuplicate, fmt.Sprintf("%.60q stands in %s too", v, at(j)), "each only once")
	}
}
