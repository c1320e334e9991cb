// Command dandelionhilld is the daemon of one entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"dandelionhill.dev/server/daemon"
	"dandelionhill.dev/server/logs"
	"dandelionhill.dev/server/settings"
)

func main() {
	path := flag.String("settings", "/etc/dandelionhill/settings.jsonc", "settings file of this VM")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "dandelionhilld:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := logs.New(os.Stderr, s.LogLevel, s.VM)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	<-stop.Done()
	return d.Stop(context.Background())
}
