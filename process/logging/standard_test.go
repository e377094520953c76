// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"log"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestStandardLogIsOneLineAMessage(t *testing.T) {
	flags, w := log.Flags(), log.Writer()
	defer func() {
		log.SetFlags(flags)
		log.SetOutput(w)
	}()
	var out bytes.Buffer
	RedirectStandardLog(&out)
	log.Print("http: panic serving 127.0.0.1:1: x\ngoroutine 1\n")
	assert.Assert(t, strings.HasSuffix(out.String(), ` event=library-message text="http: panic serving 127.0.0.1:1: x\ngoroutine 1"`+"\n"), out.String())
}
