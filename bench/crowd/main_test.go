// Package crowd runs the daemons as separate processes, with the memory and the
// descriptors of a small VM, against crowds of clients that don't behave. Its tests check
// that the process lives, that its memory and its open descriptors stay within the VM's,
// and that an ordinary caller is answered. Run them apart from other load.
package crowd

import (
	"flag"
	"io"
	stdlog "log"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/apex/log"

	// The tests build and run a program of these packages. Without the imports, go test
	// would reuse results of older programs.
	_ "github.com/pomelospool/pomelospool/process/daemon"
	_ "github.com/pomelospool/pomelospool/process/front"
)

var sharedDir string

func TestMain(m *testing.M) {
	flag.Parse()
	log.SetLevel(log.FatalLevel) // lines of the stand-ins about broken connections
	logOutput := stdlog.Writer()
	stdlog.SetOutput(io.Discard)
	var err error
	if sharedDir, err = os.MkdirTemp("", "crowd"); err != nil {
		stdlog.SetOutput(logOutput)
		stdlog.Fatal(err)
	}
	status := m.Run()
	_ = os.RemoveAll(sharedDir)
	os.Exit(status)
}

var buildOnce sync.Once

// daemonProgram returns the path of the daemon, built on the first call.
func daemonProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(sharedDir, "pomelospoold")
	buildOnce.Do(func() {
		cmd := exec.Command("go", "build", "-o", program, "github.com/pomelospool/pomelospool/cmd/pomelospoold")
		if text, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("go build: %v\n%s", err, text)
		}
	})
	return program
}
