package soak

// A busy machine lets a process wait for its processor at any point. So the daemons are
// built with connections of callers that return some of what they have read late, when
// an environment variable asks for it.

// lateEnv names that variable.
const lateEnv = "SOAK_LATE"

// lateEdit makes connections late.
var lateEdit = edit{
	"net/net.go", "	n, err := c.fd.Read(b)\n",
	"	n, err := c.fd.Read(b)\n	soakLate(c.fd.laddr, n)\n",
}

const lateReads = `package net

import (
	"os"
	"time"
)

const (
	// soakLatePort is the port for callers.
	soakLatePort = 17000
	// soakLateEvery is the number of reads of which one is late.
	soakLateEvery = 4
	soakMaxLate   = 20 * time.Millisecond
)

var soakIsLate = os.Getenv("` + lateEnv + `") == "true"

// soakLate delays the return of n bytes.
func soakLate(at Addr, n int) {
	if !soakIsLate || n <= 0 {
		return
	}
	if a, ok := at.(*TCPAddr); ok && a.Port == soakLatePort && randIntn(soakLateEvery) == 0 {
		time.Sleep(time.Duration(randIntn(int(soakMaxLate))))
	}
}
`
