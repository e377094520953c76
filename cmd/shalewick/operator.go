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

	"shalewick/operator"
	"shalewick/request"
	"shalewick/version"
)

// access is how an operators' command reaches the admin API.
type adminAccess struct {
	addresses []string
	token     string
	authority string
}

// accessFlags adds the flags that every operators' command has.
func addAdminFlags(cmd *cobra.Command) *adminAccess {
	var a adminAccess
	f := cmd.Flags()
	f.StringSliceVar(&a.addresses, "admin", []string{"127.0.0.1:8002"}, "admin addresses of instances, tried in turn")
	f.StringVar(&a.token, "token", "", "token of the workspace; better given by the environment")
	f.StringVar(&a.authority, "authority", "", "PEM file of the instances' authority; with it calls go over TLS")
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
		return nil, errors.Errorf("--authority: no certificate in %s", a.authority)
	}
	c.TLS = true
	c.HTTP.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
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
	reach := addAdminFlags(cmd)
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
		c, err := reach.client()
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

// changeTimeout bounds a change whose answers are lost.
const changeTimeout = time.Minute

func applyAndPrint(cmd *cobra.Command, c *operator.Client, rs []version.Resource) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), changeTimeout)
	defer cancel()
	for _, r := range rs {
		for _, word := range r.Deprecated {
			fmt.Fprintf(cmd.ErrOrStderr(), "warning: %s: %s is deprecated, write backend\n", r.Key, word)
		}
	}
	applied, err := c.Apply(ctx, rs)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version=%d operation=%s\n", applied.Version, applied.Operation)
	return err
}

// parseKey reads "kind/name" or "kind name".
func parseKey(args []string) (version.Key, error) {
	kind, name, ok := strings.Cut(strings.Join(args, "/"), "/")
	if !ok || kind == "" || name == "" {
		return version.Key{}, errors.New("name a resource as KIND/NAME")
	}
	return version.Key{Kind: version.ParseKind(kind), Name: name}, nil
}

func getCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "get [KIND[/NAME]]", Short: "Print resources as YAML documents", Args: cobra.MaximumNArgs(1)}
	reach := addAdminFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := reach.client()
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
	reach := addAdminFlags(cmd)
	at := cmd.Flags().Int64("version", 0, "version that the deletion is made against; 0: the present one")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := parseKey(args)
		if err != nil {
			return err
		}
		c, err := reach.client()
		if err != nil {
			return err
		}
		if *at == 0 {
			r, err := c.Get(cmd.Context(), k)
			if err != nil {
				return err
			}
			*at = r.Version
		}
		applied, err := c.Delete(cmd.Context(), k, *at)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "version=%d operation=%s\n", applied.Version, applied.Operation)
		return err
	}
	return cmd
}

func watchCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "watch", Short: "Print changes as they are taken up, a JSON line each", Args: cobra.NoArgs}
	reach := addAdminFlags(cmd)
	from := cmd.Flags().Int64("from", 0, "print changes above this version")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		enc := json.NewEncoder(cmd.OutOrStdout())
		c, err := reach.client()
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
	var at int64
	var timeout time.Duration
	cmd := &cobra.Command{Use: "status", Short: "Show what is in force at each instance", Args: cobra.NoArgs}
	reach := addAdminFlags(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "return once the version is in force everywhere, or say who is missing")
	cmd.Flags().Int64Var(&at, "version", 0, "version to wait for; 0: the present one")
	cmd.Flags().DurationVar(&timeout, "timeout", 13*time.Second, "how long to wait")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c, err := reach.client()
		if err != nil {
			return err
		}
		st, err := c.Status(cmd.Context())
		if err == nil && wait {
			if at == 0 {
				at = st.Version
			}
			st, err = c.WaitInForce(cmd.Context(), at, timeout)
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
		Use: "drain backend/NAME|hall/NAME|region/NAME", Short: "Take a place out of use, or with --undo into use", Args: cobra.ExactArgs(1),
	}
	reach := addAdminFlags(cmd)
	cmd.Flags().BoolVar(&undo, "undo", false, "end the drain")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := parseKey(args)
		if err != nil {
			return err
		}
		c, err := reach.client()
		if err != nil {
			return err
		}
		r := version.Resource{Key: version.Key{Kind: version.KindDrain, Name: string(k.Kind) + "-" + k.Name}, Drain: &version.Drain{}}
		if undo {
			present, err := c.Get(cmd.Context(), r.Key)
			if err != nil {
				return err
			}
			_, err = c.Delete(cmd.Context(), r.Key, present.Version)
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
			return errors.Errorf("a %s can not be drained", k.Kind)
		}
		return applyAndPrint(cmd, c, []version.Resource{r})
	}
	return cmd
}

func shiftCommand() *cobra.Command {
	var s version.Shift
	var ramp time.Duration
	cmd := &cobra.Command{Use: "shift", Short: "Move a share of a service's requests from one region to another", Args: cobra.NoArgs}
	reach := addAdminFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&s.Service, "service", "", "service")
	f.StringVar(&s.From, "from", "", "region to move requests from")
	f.StringVar(&s.To, "to", "", "region to move them to")
	f.Float64Var(&s.Share, "share", 0, "share of the requests, 0 to 1")
	f.IntVar(&s.Cap, "cap", 0, "most shifted requests at once")
	f.IntVar(&s.Rate, "rate", 0, "most shifted requests a second; 0: no bound")
	f.DurationVar(&ramp, "ramp", 0, "time over which the share rises from 0")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if s.Service == "" || s.From == "" || s.To == "" {
			return errors.New("--service, --from and --to: must be set")
		}
		s.Ramp = version.Duration(ramp)
		c, err := reach.client()
		if err != nil {
			return err
		}
		r := version.Resource{Key: version.Key{Kind: version.KindShift, Name: s.Service + "-" + s.From}, Shift: &s}
		present, err := c.Get(cmd.Context(), r.Key)
		var refused *operator.RefusedError
		if err != nil && !(errors.As(err, &refused) && refused.Code == request.NotFound) {
			return err
		}
		r.Version = present.Version
		return applyAndPrint(cmd, c, []version.Resource{r})
	}
	return cmd
}
