// SPDX-License-Identifier: MIT

// Package setting binds a command's flags to environment variables. Each flag
// --some-name can also be set as SHALEWICK_SOME_NAME; the flag takes precedence.
package setting

import (
	"net/netip"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/pflag"
)

// Prefix is the prefix of all environment variables.
const Prefix = "SHALEWICK_"

// Variable returns the name of the environment variable for a flag.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnvironment sets the flags that were not given on the command line from their
// environment variables. It returns the first error.
func FromEnvironment(fs *pflag.FlagSet) error {
	var first error
	fs.VisitAll(func(f *pflag.Flag) {
		text, ok := os.LookupEnv(Variable(f.Name))
		if !ok || f.Changed || first != nil {
			return
		}
		if err := fs.Set(f.Name, text); err != nil {
			first = errors.Errorf("%s=%q: %v", Variable(f.Name), text, err)
		}
	})
	return first
}

// Describe adds the name of the environment variable to the help text of each flag.
func Describe(fs *pflag.FlagSet) {
	fs.VisitAll(func(f *pflag.Flag) {
		if !strings.Contains(f.Usage, Prefix) && f.Name != "help" {
			f.Usage += " [" + Variable(f.Name) + "]"
		}
	})
}

// CheckAddress checks that the value of a flag is an IP address and a port.
func CheckAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.Errorf("--%s: %q is not an IP address and port like 127.0.0.1:8000", flag, value)
	}
	return nil
}
