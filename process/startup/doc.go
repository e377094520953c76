// SPDX-License-Identifier: MIT

// Package startup provides what a process needs before it can serve. What is missing may still appear, such as an address that the
// predecessor is about to leave, so a start tries again for a while:
//
//	retrier := startup.Retrier{Timeout: startup.DefaultTimeout, Log: log}
//	sockets, err := retrier.Listen(ctx, []startup.Address{{Setting: "front", Network: "tcp", Address: "127.0.0.1:8000"}})
//	...
//	os.Exit(startup.ExitCode(err))
package startup
