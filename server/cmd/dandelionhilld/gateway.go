package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dandelionhill.dev/server/gateway"
	"dandelionhill.dev/server/logs"
)

// runGateway runs an entry VM on the platform's store. SIGHUP checks a changed
// settings file; hangups receives it. SIGTERM stops the process.
func runGateway(path string, hangups <-chan os.Signal) error {
	s, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	metrics := gateway.NewMetrics()
	out := logs.Async(os.Stdout, metrics.LogLinesDropped)
	defer out.Close()
	log, err := logs.New(out, s.LogLevel, s.VM)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.RuntimeMemoryBytes())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	g := gateway.New(s, metrics, log)
	if err := g.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-stop:
			g.Stop()
			return nil
		case <-hangups:
		}
		if _, err := gateway.LoadSettings(path); err != nil {
			log.Error().Str("event", "settings_refused").Err(err).Msg("")
			continue
		}
		// Nothing is applied: addresses and names of a VM do not change while it runs.
		log.Info().Str("event", "settings_read").Bool("applied", false).Msg("")
	}
}
