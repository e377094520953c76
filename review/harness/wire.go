// SPDX-License-Identifier: MIT

package harness

import (
	_ "embed"
	"encoding/json"
)

// WireNames are names of the users' pages: headers, and paths that instances serve.
type WireNames struct {
	ID, Deadline, Object, Target, Seal, NotRun, Load string
	Ready, Resolve                                   string
}

//go:embed wire.json
var wireFile []byte

// Wire holds the names that the stand-ins use.
var Wire = readWire()

func readWire() WireNames {
	var names WireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}
