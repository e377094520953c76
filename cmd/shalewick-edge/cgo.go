// SPDX-License-Identifier: MIT

package main

// The platform runs only programs that are linked to the C library. Importing C
// makes the linker do so.

import "C"
