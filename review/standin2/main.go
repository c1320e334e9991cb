// Command standin2 plays the cases of the second review: it starts entry VMs as processes, with
// a store, workers and clients of its own on loopback addresses, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	scenario := flag.String("case", "", "name of the case")
	gateway := flag.String("gateway", "target/dandelionhilld", "program of the entry VMs")
	record := flag.String("record", "record.txt", "file for the record")
	dir := flag.String("dir", "", "temporary folder")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	cases := map[string]func(c *caseRun) (broken bool, err error){"drain": playDrain, "regress": playRegress, "poison": playPoison}
	play := cases[*scenario]
	if play == nil || *dir == "" {
		fmt.Fprintln(os.Stderr, "standin2: name a case and a temporary folder")
		os.Exit(exitNotRun)
	}
	c := &caseRun{rec: &recorder{start: time.Now()}, gateway: *gateway, dir: *dir, trouble: *trouble}
	broken, err := play(c)
	if werr := c.rec.write(*record); err == nil {
		err = werr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin2:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// caseRun is what a case needs.
type caseRun struct {
	rec          *recorder
	gateway, dir string
	trouble      bool
}
