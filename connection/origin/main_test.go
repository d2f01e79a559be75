package origin

import (
	"testing"

	"github.com/apex/log"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}
