// SPDX-License-Identifier: MIT

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the names of the platform: headers, paths and tables.
var wire = readWire()

type wireNames struct {
	ID, Budget, Affinity, Target, Seal, NotRun, Load, Instance string // headers
	Resolve, Ready                                             string // paths
	Upstreams, Operator                                        string // tables
}

func readWire() (names wireNames) {
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}
