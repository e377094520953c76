// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/caller"
	"shalewick/load"
)

func loadCommand() *cobra.Command {
	var o load.Options
	var k load.Kind
	var entries, records, addresses []string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a rate and report latencies, refusals and anything lost, doubled or mixed up",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(entries) == 0 || k.Service == "" {
				return errors.New("--entries and --service: must be set")
			}
			for _, a := range addresses {
				c := caller.New(entries)
				c.Address = a
				o.Clients = append(o.Clients, c)
			}
			k.Name, k.Weight = k.Service, 1
			o.Mix = []load.Kind{k}
			outcomes, err := load.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			recs, err := load.FetchRecords(records)
			if err != nil {
				return err
			}
			rep := load.Judge(o.Mix, outcomes, recs)
			if len(records) == 0 {
				rep.Lost = 0 // without records there is nothing to compare with
			}
			rep.Print(cmd.OutOrStdout())
			if rep.Faults() > 0 {
				return fmt.Errorf("%d faults", rep.Faults())
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&entries, "entries", nil, "addresses of some instances to start from")
	f.StringSliceVar(&records, "records", nil, "addresses of the upstream stand-ins, to compare with their records")
	f.StringSliceVar(&addresses, "clients", []string{"10.0.0.7"}, "addresses of the clients that the load stands for")
	f.Float64Var(&o.Rate, "rate", 100, "requests a second")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "length of the run")
	f.StringVar(&k.Service, "service", "", "service to send to")
	f.StringVar(&k.Method, "method", "GET", "method of the requests")
	f.StringVar(&k.Path, "path", "/", "path of the requests")
	f.BoolVar(&k.Once, "once", false, "the requests may not be repeated")
	f.IntVar(&k.Body, "body", 0, "size of a request's body in bytes")
	f.IntVar(&k.Answer, "answer", 2048, "size of an answer's body in bytes")
	f.DurationVar(&k.Timeout, "timeout", 5*time.Second, "time in which a request must be answered")
	return cmd
}
