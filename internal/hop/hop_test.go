package hop

import (
	"net/http"
	"reflect"
	"testing"
)

// Guards against a hop-by-hop header that is forwarded to the next connection:
// a target would keep the connection open or wait for a body.
func TestStrip(t *testing.T) {
	h := http.Header{
		"Connection": {"close, x-hop", " , Te"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Content-Length": {"9"}, "X-Hop": {"1"}, "Accept": {"*/*"},
	}
	if got, want := ConnectionOptions(h), []string{"Close", "X-Hop", "Te"}; !reflect.DeepEqual(got, want) {
		t.Errorf("listed %v, want %v", got, want)
	}
	Strip(h)
	if want := (http.Header{"X-Hop": {"1"}, "Accept": {"*/*"}}); !reflect.DeepEqual(h, want) {
		t.Errorf("left %v, want %v", h, want)
	}
}
