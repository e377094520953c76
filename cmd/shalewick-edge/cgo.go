// SPDX-License-Identifier: MIT

package main

// The platform runs only programs that are linked to the C library. Importing C
// makes the linker do so.

/*
#include <signal.h>

// ignoreHangup runs before the Go runtime starts, which takes milliseconds in which SIGHUP would end the process. The runtime
// leaves an ignored signal ignored until signal.Notify asks for it; the settings are read afterwards.
__attribute__((constructor)) static void ignoreHangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
