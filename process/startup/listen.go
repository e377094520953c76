// SPDX-License-Identifier: MIT

package startup

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"

	"github.com/juju/errors"
)

// Exit codes of a process whose start fails.
const (
	ExitFailure = 1
	// ExitUnavailable says that an address was not available within the timeout. It is EX_TEMPFAIL of sysexits.h.
	ExitUnavailable = 75
)

// ExitCode returns the exit code for an error of a start.
func ExitCode(err error) int {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return ExitUnavailable
	}
	return ExitFailure
}

// Address is an address to listen on.
type Address struct {
	Setting string // names it in log lines and errors
	Network string // "tcp", "tcp4", "udp" or "udp4"
	Address string // IP address and port
}

// UnavailableError says that an address can't be listened on for a reason that may pass.
type UnavailableError struct {
	Address Address
	Err     error
}

func (u *UnavailableError) Error() string {
	return fmt.Sprintf("%s: %v (%s)", u.Address.Setting, u.Err, u.explanation())
}

func (u *UnavailableError) Unwrap() error { return u.Err }

// explanation tells operators what the error means.
func (u *UnavailableError) explanation() string {
	switch {
	case errors.Is(u.Err, syscall.EADDRINUSE):
		return "another process listens there, or a connection has it as its local address"
	case errors.Is(u.Err, syscall.EADDRNOTAVAIL):
		return "this machine does not have the IP address"
	default:
		return "the machine lacks memory or open files"
	}
}

// temporaryErrors are errors of a bind that may pass without a change of the settings.
var temporaryErrors = []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

func isTemporary(err error) bool {
	for _, t := range temporaryErrors {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

// Sockets holds open sockets by the setting of their address.
type Sockets struct {
	TCP map[string]*net.TCPListener
	UDP map[string]*net.UDPConn
}

// Close closes all sockets.
func (s Sockets) Close() {
	for _, l := range s.TCP {
		_ = l.Close() // nothing can be done about an error
	}
	for _, c := range s.UDP {
		_ = c.Close()
	}
}

// Listen opens sockets for all addresses, in their order. While one address is not available none of them is open: a connection that
// waits to be accepted would be worse for a caller than one that is refused. The error is an UnavailableError if an address
// was not available within the timeout.
func (r Retrier) Listen(ctx context.Context, addresses []Address) (Sockets, error) {
	temporary := func(err error) bool {
		var unavailable *UnavailableError
		return errors.As(err, &unavailable)
	}
	if err := checkDistinct(addresses); err != nil {
		return Sockets{}, err
	}
	s, err := Retry(ctx, r, "listen", temporary, func() (Sockets, error) { return openAll(addresses) })
	if err != nil {
		s.Close() // the context may have ended after they were opened
	}
	return s, err
}

// checkDistinct returns an error if two settings name the same address.
func checkDistinct(addresses []Address) error {
	settings := make(map[string]string)
	for _, a := range addresses {
		key := a.Network + " " + a.Address
		if other, ok := settings[key]; ok && !strings.HasSuffix(a.Address, ":0") {
			return errors.Errorf("%s and %s: both are %s", other, a.Setting, a.Address)
		}
		settings[key] = a.Setting
	}
	return nil
}

// openAll opens sockets for all addresses, or none.
func openAll(addresses []Address) (Sockets, error) {
	s := Sockets{TCP: make(map[string]*net.TCPListener), UDP: make(map[string]*net.UDPConn)}
	for _, a := range addresses {
		if err := s.open(a); err != nil {
			s.Close()
			if isTemporary(err) {
				return Sockets{}, &UnavailableError{Address: a, Err: err}
			}
			return Sockets{}, errors.Annotate(err, a.Setting)
		}
	}
	return s, nil
}

func (s Sockets) open(a Address) error {
	switch a.Network {
	case "tcp", "tcp4":
		l, err := net.Listen(a.Network, a.Address)
		if err != nil {
			return err
		}
		s.TCP[a.Setting] = l.(*net.TCPListener)
	default:
		p, err := net.ListenPacket(a.Network, a.Address)
		if err != nil {
			return err
		}
		s.UDP[a.Setting] = p.(*net.UDPConn)
	}
	return nil
}
