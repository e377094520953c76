// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"shalewick/conn"
	"shalewick/operator"
	"shalewick/request"
	"shalewick/version"
)

// adminAccess holds the flags for calls to the admin API.
type adminAccess struct {
	addresses []string
	token     string
	authority string
}

// addAdminFlags adds the flags that all operators' commands have.
func addAdminFlags(cmd *cobra.Command) *adminAccess {
	var a adminAccess
	f := cmd.Flags()
	f.StringSliceVar(&a.addresses, "admin", []string{"127.0.0.1:8002"}, "admin addresses of instances, tried in turn")
	f.StringVar(&a.token, "token", "", "token of the workspace; preferably set through the environment")
	f.StringVar(&a.authority, "authority", "", "PEM file of the instances' certificate authority; if set, calls use TLS")
	return &a
}

// client returns the client that the flags describe.
func (a *adminAccess) client() (*operator.Client, error) {
	c := operator.New(a.addresses)
	c.Token = a.token
	if a.authority == "" {
		return c, nil
	}
	pem, err := os.ReadFile(a.authority)
	if err != nil {
		return nil, errors.Annotate(err, "--authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("--authority: no certificates in %s", a.authority)
	}
	c.TLS = true
	c.HTTP.Transport = &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, MaxResponseHeaderBytes: conn.MaxHeadBytes,
	}
	return c, nil
}

func operatorCommands() []*cobra.Command {
	return []*cobra.Command{
		applyCommand(), getCommand(), deleteCommand(), watchCommand(), statusCommand(), drainCommand(), shiftCommand(), rolloutCommand(),
	}
}

func applyCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{Use: "apply -f FILE", Short: "Write resources from YAML or JSON documents", Args: cobra.NoArgs}
	access := addAdminFlags(cmd)
	cmd.Flags().StringVarP(&file, "file", "f", "", "file to read, - for standard input")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if file == "" {
			return errors.New("--file: must be set")
		}
		docs, err := readFile(cmd, file)
		if err != nil {
			return err
		}
		rs, err := version.Parse(docs)
		if err != nil {
			return err
		}
		c, err := access.client()
		if err != nil {
			return err
		}
		return applyAndPrint(cmd, c, rs)
	}
	return cmd
}

func readFile(cmd *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(file)
}

// changeTimeout limits the time for a change, including retries after lost responses.
const changeTimeout = time.Minute

func applyAndPrint(cmd *cobra.Command, c *operator.Client, rs []version.Resource) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), changeTimeout)
	defer cancel()
	for _, r := range rs {
		for _, name := range r.Deprecated {
			fmt.Fprintf(cmd.ErrOrStderr(), "warning: %s: %s is deprecated, use backend\n", r.Key, name)
		}
	}
	applied, err := c.Apply(ctx, rs)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version=%d operation=%s\n", applied.Version, applied.Operation)
	return err
}

// parseKey parses "kind/name" or "kind name".
func parseKey(args []string) (version.Key, error) {
	kind, name, ok := strings.Cut(strings.Join(args, "/"), "/")
	if !ok || kind == "" || name == "" {
		return version.Key{}, errors.New("a resource must be given as KIND/NAME")
	}
	return version.Key{Kind: version.ParseKind(kind), Name: name}, nil
}

func getCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "get [KIND[/NAME]]", Short: "Print resources as YAML documents", Args: cobra.MaximumNArgs(1)}
	access := addAdminFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := access.client()
		if err != nil {
			return err
		}
		if len(args) == 1 && strings.Contains(args[0], "/") {
			k, err := parseKey(args)
			if err != nil {
				return err
			}
			r, err := c.Get(cmd.Context(), k)
			if err != nil {
				return err
			}
			return printYAML(cmd.OutOrStdout(), []version.Resource{r})
		}
		rs, err := c.List(cmd.Context(), version.ParseKind(strings.Join(args, "")))
		if err != nil {
			return err
		}
		return printYAML(cmd.OutOrStdout(), rs)
	}
	return cmd
}

func printYAML(w io.Writer, rs []version.Resource) error {
	for i := range rs {
		b, err := yaml.Marshal(rs[i])
		if err != nil {
			return errors.Trace(err)
		}
		if _, err := fmt.Fprintf(w, "---\n%s", b); err != nil {
			return err
		}
	}
	return nil
}

func deleteCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "delete KIND/NAME", Short: "Remove a resource", Args: cobra.ExactArgs(1)}
	access := addAdminFlags(cmd)
	expected := cmd.Flags().Int64("version", 0, "version that the resource must have; 0: the current one")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := parseKey(args)
		if err != nil {
			return err
		}
		c, err := access.client()
		if err != nil {
			return err
		}
		if *expected == 0 {
			r, err := c.Get(cmd.Context(), k)
			if err != nil {
				return err
			}
			*expected = r.Version
		}
		applied, err := c.Delete(cmd.Context(), k, *expected)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "version=%d operation=%s\n", applied.Version, applied.Operation)
		return err
	}
	return cmd
}

func watchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "watch", Short: "Print changes as they are applied, as one JSON line each", Args: cobra.NoArgs}
	access := addAdminFlags(cmd)
	from := cmd.Flags().Int64("from", 0, "print changes after this version")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		enc := json.NewEncoder(cmd.OutOrStdout())
		c, err := access.client()
		if err != nil {
			return err
		}
		err = c.Watch(cmd.Context(), *from, func(ch version.Change) error { return enc.Encode(ch) })
		if cmd.Context().Err() != nil {
			return nil // ended by the user
		}
		return err
	}
	return cmd
}

func statusCommand() *cobra.Command {
	var wait bool
	var target int64
	var timeout time.Duration
	cmd := &cobra.Command{Use: "status", Short: "Show what is in force at each instance", Args: cobra.NoArgs}
	access := addAdminFlags(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the version is in force everywhere, or report which instances lack it")
	cmd.Flags().Int64Var(&target, "version", 0, "version to wait for; 0: the current one")
	cmd.Flags().DurationVar(&timeout, "timeout", 13*time.Second, "how long to wait")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c, err := access.client()
		if err != nil {
			return err
		}
		st, err := c.Status(cmd.Context())
		if err == nil && wait {
			if target == 0 {
				target = st.Version
			}
			st, err = c.WaitInForce(cmd.Context(), target, timeout)
		}
		rs, listErr := c.List(cmd.Context(), "")
		if listErr != nil {
			return listErr
		}
		operator.PrintSummary(cmd.OutOrStdout(), &st, rs)
		return err
	}
	return cmd
}

func drainCommand() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use: "drain backend/NAME|hall/NAME|region/NAME", Short: "Drain a backend server, hall or region, or end the drain with --undo", Args: cobra.ExactArgs(1),
	}
	access := addAdminFlags(cmd)
	cmd.Flags().BoolVar(&undo, "undo", false, "end the drain")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := parseKey(args)
		if err != nil {
			return err
		}
		c, err := access.client()
		if err != nil {
			return err
		}
		r := version.Resource{Key: version.Key{Kind: version.KindDrain, Name: string(k.Kind) + "-" + k.Name}, Drain: &version.Drain{}}
		if undo {
			existing, err := c.Get(cmd.Context(), r.Key)
			if err != nil {
				return err
			}
			_, err = c.Delete(cmd.Context(), r.Key, existing.Version)
			return err
		}
		switch k.Kind {
		case version.KindBackend:
			r.Drain.Backend = k.Name
		case version.KindHall:
			r.Drain.Hall = k.Name
		case version.KindRegion:
			r.Drain.Region = k.Name
		default:
			return errors.Errorf("a %s cannot be drained", k.Kind)
		}
		return applyAndPrint(cmd, c, []version.Resource{r})
	}
	return cmd
}

func shiftCommand() *cobra.Command {
	var s version.Shift
	var ramp time.Duration
	cmd := &cobra.Command{Use: "shift", Short: "Move a share of a service's requests from one region to another", Args: cobra.NoArgs}
	access := addAdminFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&s.Service, "service", "", "service")
	f.StringVar(&s.From, "from", "", "region to move requests from")
	f.StringVar(&s.To, "to", "", "region to move them to")
	f.Float64Var(&s.Share, "share", 0, "fraction of the requests, 0 to 1")
	f.IntVar(&s.Cap, "cap", 0, "maximum number of concurrent shifted requests")
	f.IntVar(&s.Rate, "rate", 0, "maximum number of shifted requests per second; 0: no limit")
	f.DurationVar(&ramp, "ramp", 0, "time over which the share increases from 0")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if s.Service == "" || s.From == "" || s.To == "" {
			return errors.New("--service, --from and --to: must be set")
		}
		s.Ramp = version.Duration(ramp)
		c, err := access.client()
		if err != nil {
			return err
		}
		r := version.Resource{Key: version.Key{Kind: version.KindShift, Name: s.Service + "-" + s.From}, Shift: &s}
		existing, err := c.Get(cmd.Context(), r.Key)
		var refused *operator.RefusedError
		if err != nil && !(errors.As(err, &refused) && refused.Code == request.NotFound) {
			return err
		}
		r.Version = existing.Version
		return applyAndPrint(cmd, c, []version.Resource{r})
	}
	return cmd
}
