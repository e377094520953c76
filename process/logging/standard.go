// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"io"
	"log"
	"time"

	"github.com/rs/zerolog"
)

// RedirectStandardLog makes the standard logger, to which net/http writes, write lines of the event library-message to w.
// Their rate is limited.
func RedirectStandardLog(w io.Writer) {
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{New(w).Hook(NewRateLimiter(time.Now))})
}

// standardLogWriter receives the messages of the standard logger.
type standardLogWriter struct{ log zerolog.Logger }

// Write writes one message. It never fails.
func (s standardLogWriter) Write(p []byte) (int, error) {
	s.log.Warn().Bytes("text", bytes.TrimSpace(p)).Msg("library-message")
	return len(p), nil
}
