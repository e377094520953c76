// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/process/setting"
	"shalewick/standin/backend"
	"shalewick/standin/platform"
)

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform or of backend servers, for tests",
	}
	cmd.AddCommand(standinPlatformCommand(), standinBackendCommand())
	return cmd
}

func standinPlatformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform: tables, objects and the list of instances",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := setting.CheckAddress("listen", listen); err != nil {
				return err
			}
			var s platform.Server
			return serve(cmd.Context(), []string{listen}, []http.Handler{s.Handler()})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on")
	return cmd
}

func standinBackendCommand() *cobra.Command {
	var listen, name, journal string
	var count, slots int
	var work time.Duration
	var queue bool
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Run stand-ins of backend servers on consecutive ports",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			first, err := netip.ParseAddrPort(listen)
			if err != nil {
				return setting.CheckAddress("listen", listen)
			}
			if count < 1 || slots < 1 || work < 0 {
				return errors.New("--count and --slots must be at least 1, --work must not be negative")
			}
			var out io.Writer
			if journal != "" {
				f, err := os.OpenFile(journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
				if err != nil {
					return errors.Annotate(err, "--journal")
				}
				out = f
			}
			var addresses []string
			var handlers []http.Handler
			for i := range count {
				s := &backend.Server{Name: name + strconv.Itoa(i), Slots: slots, MeanWork: work, Queue: queue, Journal: out}
				addresses = append(addresses, netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String())
				handlers = append(handlers, s.Handler())
			}
			return serve(cmd.Context(), addresses, handlers)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9000", "address that the first one listens on")
	f.StringVar(&name, "name", "backend-", "prefix of their names in records")
	f.BoolVar(&queue, "queue", false, "queue requests beyond the slots, and shed those beyond the queue")
	f.StringVar(&journal, "journal", "", "file to append records to; it survives a kill of the process")
	f.IntVar(&count, "count", 1, "number of stand-ins")
	f.IntVar(&slots, "slots", 4, "number of requests that each serves concurrently")
	f.DurationVar(&work, "work", 5*time.Millisecond, "mean service time of a request")
	return cmd
}

// serve serves each handler at its address until the context ends or a server fails.
func serve(ctx context.Context, addresses []string, handlers []http.Handler) error {
	errs := make(chan error, len(addresses))
	for i, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", a)
		}
		s := &http.Server{Handler: handlers[i], ReadHeaderTimeout: 10 * time.Second}
		go func() { errs <- s.Serve(l) }()
	}
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
		return nil
	}
}
