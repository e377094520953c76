// SPDX-License-Identifier: MIT

// Package days holds days of our own for the users' bench.
package days

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"
)

// trouble is one disruption.
type trouble struct {
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

// day is one day.
type day struct {
	Name   string    `toml:"name"`
	Slot   string    `toml:"slot"`
	Seed   int       `toml:"seed"`
	One    float64   `toml:"one"`
	Zero   float64   `toml:"zero"`
	Goal   goal      `toml:"goal"`
	Labels []string  `toml:"labels"`
	Plan   []trouble `toml:"plan"`
	Faults []trouble `toml:"faults"`
}

// file is a file with one day: in a list of days, or its fields alone.
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

type goal struct {
	Floor float64 `toml:"floor"`
}

// TestDaysAreRead checks that each file says what it is after, holds one day of its name, and
// no field that is not known.
func TestDaysAreRead(t *testing.T) {
	paths, err := filepath.Glob("*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 20, "%d days", len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(text), "# "), "%s does not say what it is after", path)
		var f file
		known, err := toml.Decode(string(text), &f)
		assert.NilError(t, err, path)
		assert.Equal(t, len(known.Undecoded()), 0, "%s: %v", path, known.Undecoded())
		days := f.days()
		assert.Equal(t, len(days), 1, path)
		assert.Equal(t, days[0].Name+".toml", path)
		assert.Assert(t, len(days[0].Plan)+len(days[0].Faults) > 0, path)
		for _, x := range append(days[0].Plan, days[0].Faults...) {
			assert.Assert(t, x.Kind != "" && x.At > 0, "%s: %+v", path, x)
		}
	}
}
