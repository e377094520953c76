// SPDX-License-Identifier: MIT

package network

import (
	"encoding/binary"
	"net/netip"
	"os"
	"strconv"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Filter is a socket filter, which the kernel runs on each packet that reaches a socket. The empty
// filter accepts all packets.
type Filter []unix.SockFilter

// Values in socket filters.
const (
	ipHeader     = -0x100000  // offset of the IP header (SKF_NET_OFF in linux/filter.h)
	sourceOffset = 12         // offset of the source address in the IP header
	acceptAll    = 0xffffffff // number of bytes of the packet to keep: all
)

// DropAll is a filter that drops every packet.
var DropAll = Filter{{Code: unix.BPF_RET | unix.BPF_K}}

// DropFrom returns a filter that drops packets from some IP addresses.
func DropFrom(ips ...netip.Addr) Filter {
	source := int32(ipHeader + sourceOffset)
	out := Filter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(source)}}
	for _, ip := range ips {
		b := ip.As4()
		out = append(out,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(b[:])},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	}
	return append(out, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll})
}

// FilterSockets sets the filter of the sockets of this process that match, or removes it if the
// filter is empty. Match gets the addresses of both ends; remote is the zero value for a socket that
// is not connected. Some listeners don't support filters (Multipath TCP), but the connections that
// they accept do.
func FilterSockets(filter Filter, match func(local, remote netip.AddrPort) bool) error {
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return errors.Trace(err)
	}
	for _, f := range files {
		fd, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		local := address(unix.Getsockname(fd))
		if !local.IsValid() || !match(local, address(unix.Getpeername(fd))) {
			continue
		}
		if err := setFilter(fd, filter); err != nil {
			return errors.Annotatef(err, "filter at %s", local)
		}
	}
	return nil
}

// address returns the address of one end of an IPv4 socket, and the zero value for any other file
// descriptor.
func address(end unix.Sockaddr, err error) netip.AddrPort {
	if v4, ok := end.(*unix.SockaddrInet4); ok && err == nil {
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port))
	}
	return netip.AddrPort{}
}

// ignoredErrors are the errors after which nothing is left to do: the socket doesn't support
// filters, has no filter to remove, or has been closed.
var ignoredErrors = []error{unix.EOPNOTSUPP, unix.ENOENT, unix.EBADF, unix.ENOTSOCK}

// setFilter sets or removes the filter of a socket. It ignores ignoredErrors.
func setFilter(fd int, filter Filter) error {
	err := attachFilter(fd, filter)
	for _, ignored := range ignoredErrors {
		if errors.Is(err, ignored) {
			return nil
		}
	}
	return err
}

// attachFilter attaches a filter to a socket, or detaches its filter if filter is empty.
func attachFilter(fd int, filter Filter) error {
	if len(filter) == 0 {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}
