// SPDX-License-Identifier: MIT

package server

import "encoding/json"

// Row describes the row of a backend server in the users' table of backend servers.
type Row struct {
	Address          string // "": Server.Address
	Service          string
	Zone             string
	State            string // "ready": accepts requests
	ColdRemainingS   float64
	IncludeStartTime bool // adds the time of the last start
}

// RowValue returns the value of the backend server's row, in JSON.
func (s *Server) RowValue(r Row) string {
	type info struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Slots   int    `json:"slots"`
		Version string `json:"version"`
	}
	type status struct {
		State    string  `json:"state"`
		Sequence int     `json:"sequence"`
		Cold     float64 `json:"coldRemainingS"`
	}
	if r.Address == "" {
		r.Address = s.Address()
	}
	startedAtMs := int64(0)
	if r.IncludeStartTime {
		s.mu.Lock()
		startedAtMs = s.startedAt.UnixMilli()
		s.mu.Unlock()
	}
	text, err := json.Marshal(struct {
		Address string `json:"address"`
		Born    int64  `json:"born,omitempty"`
		Info    info   `json:"info"`
		Status  status `json:"status"`
	}{
		r.Address, startedAtMs, info{r.Service, r.Zone, s.Slots, s.Software}, status{r.State, 1, r.ColdRemainingS},
	})
	if err != nil {
		panic(err) // all its fields can be encoded
	}
	return string(text)
}
