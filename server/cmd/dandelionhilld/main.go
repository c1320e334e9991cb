// Command dandelionhilld is the daemon of one entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dandelionhill.dev/server/daemon"
	"dandelionhill.dev/server/gateway"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/logs"
	"dandelionhill.dev/server/settings"
)

func main() {
	// The default action of SIGHUP ends a process, and the settings are read only after this.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	run, check, args := runDaemon, checkDaemon, os.Args[1:]
	if len(args) > 0 && args[0] == "gateway" {
		run, check, args = func(path string) error { return runGateway(path, hangups) }, checkGateway, args[1:]
	}
	flags := flag.NewFlagSet("dandelionhilld", flag.ExitOnError)
	path := flags.String("settings", "/etc/dandelionhill/settings.jsonc", "settings file of this VM")
	checkOnly := flags.Bool("check", false, "check the settings file, print its problems with their lines, and exit")
	if err := flags.Parse(args); err != nil {
		os.Exit(2)
	}
	if *checkOnly {
		run = check
	}
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "dandelionhilld:", err)
		os.Exit(1)
	}
}

func checkDaemon(path string) error {
	_, err := settings.Load(path)
	return err
}

func checkGateway(path string) error {
	_, err := gateway.LoadSettings(path)
	return err
}

// setMemory sets the memory of the VM to that of the machine or of the process's control group, unless
// the settings state it. It returns where it comes from.
func setMemory(s *settings.Settings, machineMB int) (source string) {
	switch {
	case s.MemoryMB > 0:
		return "settings"
	case machineMB > 0:
		s.MemoryMB = machineMB
		return "machine"
	default:
		return "unknown"
	}
}

func runDaemon(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	source := setMemory(s, listen.MachineMemoryMB())
	if limit := listen.NewBudget(s.MemoryMB).Runtime; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log, err := logs.New(os.Stderr, s.LogLevel, s.VM)
	if err != nil {
		return err
	}
	log.Info().Str("event", "memory_limit").Str("source", source).Int("memory_mb", s.MemoryMB).Msg("")
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
