// SPDX-License-Identifier: MIT

package main

// The platform runs programs that are linked to the C library, which this
// import makes the linker do.

import "C"
