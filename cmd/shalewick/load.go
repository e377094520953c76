// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/caller"
	"shalewick/load"
)

func loadCommand() *cobra.Command {
	var o load.Options
	var entries, records, addresses, kinds []string
	var outcomesFile string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a fixed rate and report latencies, rejections, and lost, doubled or mixed-up requests",
		Example: `  shalewick load --entries 127.0.0.1:8000 --rate 200 --duration 10s \
    --kind service=catalogue,path=/lots,weight=80,answer=4096 \
    --kind service=ledger,method=POST,path=/bids,weight=20,once=true,body=200`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(entries) == 0 || len(kinds) == 0 {
				return errors.New("--entries and --kind: must be set")
			}
			for _, text := range kinds {
				k, err := load.ParseKind(text)
				if err != nil {
					return errors.Annotate(err, "--kind")
				}
				o.Mix = append(o.Mix, k)
			}
			for _, a := range addresses {
				c := caller.New(entries)
				c.Address = a
				o.Clients = append(o.Clients, c)
			}
			return runLoad(cmd, o, records, outcomesFile)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&entries, "entries", nil, "addresses of some instances, used for the first lookup")
	f.StringSliceVar(&records, "records", nil, "addresses of the backend server stand-ins whose records are compared with the responses")
	f.StringSliceVar(&addresses, "clients", []string{"10.0.0.7"}, "addresses of the simulated clients")
	f.StringVar(&outcomesFile, "outcomes", "", "file to which the outcome of each request is written, as a JSON array")
	f.StringArrayVar(&kinds, "kind", nil, "a kind of request: name, service, method, path, weight, once, body, answer, timeout as name=value pairs")
	f.Float64Var(&o.Rate, "rate", 100, "requests per second")
	f.DurationVar(&o.Duration, "duration", 10*time.Second, "duration of the run")
	return cmd
}

// writeOutcomes writes the outcomes to a file as JSON.
func writeOutcomes(path string, outcomes []load.Outcome) error {
	b, err := json.Marshal(outcomes)
	if err != nil {
		return errors.Annotate(err, "encode outcomes")
	}
	return errors.Annotate(os.WriteFile(path, b, 0o600), "--outcomes")
}

// runLoad sends the requests, prints the report, and returns an error if a guarantee
// was violated.
func runLoad(cmd *cobra.Command, o load.Options, records []string, outcomesFile string) error {
	outcomes, err := load.Run(cmd.Context(), o)
	if err != nil {
		return err
	}
	if outcomesFile != "" {
		if err := writeOutcomes(outcomesFile, outcomes); err != nil {
			return err
		}
	}
	recs, err := load.FetchRecords(records)
	if err != nil {
		return err
	}
	report := load.Verify(o.Mix, outcomes, recs)
	if len(records) == 0 {
		report.Lost = 0 // without records, every answered request counts as lost
		report.Examples = nil
	}
	report.Print(cmd.OutOrStdout())
	if report.Faults() > 0 {
		return fmt.Errorf("%d faults", report.Faults())
	}
	return nil
}
