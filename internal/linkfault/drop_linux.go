package linkfault

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// SetDropArriving makes the kernel drop all segments that arrive for a connection, as on a
// broken link, or ends that. The peer's kernel goes on sending.
func SetDropArriving(c syscall.Conn, drop bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("linkfault: %w", err)
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		if !drop {
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		all := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(all)), Filter: &all[0]})
	})
	if err == nil {
		err = set
	}
	if err != nil {
		return fmt.Errorf("linkfault: %w", err)
	}
	return nil
}
