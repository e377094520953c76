// SPDX-License-Identifier: MIT

package server

import "encoding/json"

// Row is what a backend server says of itself in the users' table.
type Row struct {
	Address          string // "": its own
	Service          string
	Zone             string
	State            string // "ready" takes work
	ColdRemainingS   float64
	IncludeStartTime bool // the row says when the backend server was started
}

// Announcement returns the value of the backend server's row.
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
	born := int64(0)
	if r.IncludeStartTime {
		s.mu.Lock()
		born = s.startedAt.UnixMilli()
		s.mu.Unlock()
	}
	text, err := json.Marshal(struct {
		Address string `json:"address"`
		Born    int64  `json:"born,omitempty"`
		Info    info   `json:"info"`
		Status  status `json:"status"`
	}{
		r.Address, born, info{r.Service, r.Zone, s.Slots, s.Software}, status{r.State, 1, r.ColdRemainingS},
	})
	if err != nil {
		panic(err) // it holds nothing that can't be encoded
	}
	return string(text)
}
