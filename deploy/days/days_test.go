// SPDX-License-Identifier: MIT

// Package days holds the project's own scenarios (days) for the users' bench, and checks
// the format of their files.
package days

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"
)

// disruption is one fault or planned event of a day.
type disruption struct {
	At    float64 `toml:"at"`
	Kind  string  `toml:"kind"`
	ForS  float64 `toml:"for_s"`
	Share float64 `toml:"share"`
	Count int     `toml:"count"`
	X     float64 `toml:"x"`
	GapS  float64 `toml:"gap_s"`
	How   string  `toml:"how"`
	On    string  `toml:"on"`
	Zone  string  `toml:"zone"`
	Class string  `toml:"class"`
}

// day is one scenario of the bench.
type day struct {
	Name   string       `toml:"name"`
	Slot   string       `toml:"slot"`
	Seed   int          `toml:"seed"`
	One    float64      `toml:"one"`
	Zero   float64      `toml:"zero"`
	Goal   goal         `toml:"goal"`
	Labels []string     `toml:"labels"`
	Plan   []disruption `toml:"plan"`
	Faults []disruption `toml:"faults"`
}

// file is a file with one day, either in a list of days or with the fields of the day at
// the top level.
type file struct {
	day
	Day []day `toml:"day"`
}

// days returns the days of a file.
func (f *file) days() []day {
	if f.Name != "" {
		return append(f.Day, f.day)
	}
	return f.Day
}

// goal is what the system must reach on a day.
type goal struct {
	Floor float64 `toml:"floor"`
}

// TestDayFilesAreValid checks that each file begins with a comment that states its purpose,
// holds exactly one day, which is named after the file, and has no unknown fields.
func TestDayFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 20, "%d days", len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(text), "# "), "%s does not begin with a comment that states its purpose", path)
		var f file
		meta, err := toml.Decode(string(text), &f)
		assert.NilError(t, err, path)
		assert.Equal(t, len(meta.Undecoded()), 0, "%s: %v", path, meta.Undecoded())
		days := f.days()
		assert.Equal(t, len(days), 1, path)
		assert.Equal(t, days[0].Name+".toml", path)
		assert.Assert(t, len(days[0].Plan)+len(days[0].Faults) > 0, path)
		for _, d := range append(days[0].Plan, days[0].Faults...) {
			assert.Assert(t, d.Kind != "" && d.At > 0, "%s: %+v", path, d)
		}
	}
}
