package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict of a case: the rule was broken if broken holds.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(d *deployment, trouble bool) verdict{
	"poison":    poison,
	"halfclose": halfClose,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	rec := &record{out: out, start: time.Now()}
	defer func() {
		cause := recover()
		if failed, ok := cause.(errCannotRun); ok {
			rec.line("the case could not run: %v", failed.error)
			fmt.Fprintln(os.Stderr, "the case could not run:", failed.error)
			code = 2
		} else if cause != nil {
			panic(cause)
		}
	}()
	d := newDeployment(rec)
	defer d.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		d.close()
		os.Exit(2)
	}()
	v := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	rec.line("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}
