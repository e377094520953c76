// SPDX-License-Identifier: MIT

package logging

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// HandlerPanic logs the panic of a handler with the id of its request, and ends the connection. It must be deferred. A panic
// with http.ErrAbortHandler is passed on without a line.
func HandlerPanic(log *zerolog.Logger, id *string) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		log.Error().Str("id", *id).Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("handler-panicked")
	}
	panic(http.ErrAbortHandler)
}
