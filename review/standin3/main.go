// Command standin3 plays the scripts of review/12, 13 and 15: the platform's store, workers and clients
// as stand-ins, and the entry VMs as processes of the deploy file. Run it in the repository's root.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripts by name. Each returns whether the rule was broken. trouble is false for the
// run without the disruption.
var cases = map[string]func(s *system, trouble bool) (isBroken bool, err error){
	"heads":  playHeads,
	"poison": playPoison,
	"upload": playUpload,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.stop()
	isBroken, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case isBroken:
		rec.add("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return held
}
