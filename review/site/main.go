// SPDX-License-Identifier: MIT

/*
Command site plays the cases of the review: a small deployment on loopback addresses, with stand-ins for the platform's store, the
upstreams and the clients.

	target/review-site CASE RECORD

It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 it leaves the disruption
out.
*/
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	argumentsLen = 3
)

var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"unanswered":  unanswered,
	"dead-listed": deadListed,
	"unordered":   unordered,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argumentsLen || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-site CASE RECORD")
		return exitNotRun
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		s.log("the rule is broken")
		fmt.Println("the rule is broken")
		return exitBroken
	}
	s.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
