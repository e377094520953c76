// SPDX-License-Identifier: MIT

package cluster

import (
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestFullSendBufferDelaysNoDatagram guards against a planned stop that waits for seconds until its announcement is sent.
func TestFullSendBufferDelaysNoDatagram(t *testing.T) {
	dir := t.TempDir()
	listen := func(name string) (*net.UnixConn, string) {
		path := filepath.Join(dir, name)
		c, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c, path
	}
	from, _ := listen("from")
	_, to := listen("to") // nobody reads
	raw, err := from.SyscallConn()
	assert.NilError(t, err)
	result := make(chan error)
	go func() {
		var err error
		for err == nil {
			err = sendNow(raw, make([]byte, maxDatagram), &unix.SockaddrUnix{Name: to})
		}
		result <- err
	}()
	select {
	case err := <-result:
		assert.Assert(t, errors.Is(err, unix.EAGAIN), "%v", err)
	case <-time.After(time.Second):
		t.Fatal("the datagram waits")
	}
}
