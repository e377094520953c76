// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/report"
)

// defaultWindow is the default length of a report's time windows.
const defaultWindow = time.Second

func reportCommand() *cobra.Command {
	var window time.Duration
	var html string
	cmd := &cobra.Command{
		Use:   "report FILE...",
		Short: "Count the outcomes of requests and their causes from the logs of instances",
		Long: "Count from the logs of instances, for each time window, service, class, hall and cause,\n" +
			"how many requests were answered in time or late, refused, or failed.\n" +
			"A FILE may be a directory, all files of which are read, or - for standard input.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if window <= 0 {
				return errors.Errorf("window: %s must be above 0", window)
			}
			r := report.New(window)
			for _, path := range args {
				if err := readLogs(r, path, cmd.InOrStdin()); err != nil {
					return err
				}
			}
			if html != "" {
				return writeHTML(r, html)
			}
			return r.Print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&window, "window", defaultWindow, "length of the time windows")
	cmd.Flags().StringVar(&html, "html", "", "write an HTML page with plots to this file instead of printing tables")
	return cmd
}

// readLogs reads a log file, all files below a directory, or standard input.
func readLogs(r *report.Report, path string, in io.Reader) error {
	if path == "-" {
		return r.Read("standard input", in)
	}
	return filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return errors.Trace(err)
		}
		if d.IsDir() {
			return nil
		}
		f, err := os.Open(name)
		if err != nil {
			return errors.Trace(err)
		}
		defer f.Close() // opened for reading only
		return r.Read(name, f)
	})
}

func writeHTML(r *report.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	if err := r.WriteHTML(f); err != nil {
		_ = f.Close() // err is the more informative error
		return err
	}
	return errors.Trace(f.Close())
}
