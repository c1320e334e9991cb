package main

import (
	"context"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/bench/operators"
	"dandelionhill.dev/fakes/table"
)

const (
	configurationOperators = 6
	// configurationChanges is the number of changes of each operator.
	configurationChanges = 120
	// minChanges is the number of changes below which the result is not meaningful.
	minChanges = 300
	// configurationTimeout bounds the experiment, changesDuration the changes in it.
	configurationTimeout = 30 * time.Second
	changesDuration      = 16 * time.Second
	// outageDuration exceeds the time for which a VM takes requests without a
	// confirmation of its configuration.
	outageDuration = 2500 * time.Millisecond
)

// configuration lets concurrent operators make changes through all VMs while the
// store and VMs fail, and checks that the configuration neither reverts nor
// loses an accepted change.
func configuration(ctx context.Context, e env) ([]metric.Metric, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	r, err := e.start(ctx, vmCount, serviceTime)
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	o := operators.Options{
		VMs: map[api.VMID]operators.VM{}, Table: r.Table, Operators: configurationOperators,
		Changes: configurationChanges, CallInterval: 10 * time.Millisecond, RetryAfter: 100 * time.Millisecond,
		Faults: r.configurationFaults(ctx), MaxDuration: changesDuration, Seed: e.seed,
	}
	for _, vm := range r.VMs {
		o.VMs[vm.Settings.VM] = vm
		o.VMOrder = append(o.VMOrder, vm.Settings.VM)
	}
	h, err := operators.Run(ctx, o)
	if err != nil {
		return nil, err
	}
	results := map[history.Result]int{}
	inForce := 0
	for _, c := range h.Changes {
		results[c.Result]++
		if c.InForce > 0 {
			inForce++
		}
	}
	note := fmt.Sprintf("%d changes: %d accepted (%d reported in force), %d conflicts, %d refused, %d without answer; %d observations", len(h.Changes),
		results[history.Accepted], inForce, results[history.Conflict], results[history.Refused], results[history.NoAnswer], len(h.Observations))
	reverted, lost := history.Reversions(h), history.LostChanges(h)
	if check := history.CheckConfiguration(h); check != porcupine.Ok && len(reverted)+len(lost) == 0 {
		err = errors.Errorf("porcupine reports %v for a configuration that neither reverted nor lost a change", check)
	}
	if len(h.Changes) < minChanges {
		err = errors.Errorf("only %d changes were made, want %d", len(h.Changes), minChanges)
	}
	out := []metric.Metric{
		e.measured("configuration_changes_with_faults", float64(len(h.Changes)), "count", note),
		e.measured("configuration_changes_accepted_with_faults", float64(results[history.Accepted]), "count", note),
	}
	for _, c := range []struct {
		name  string
		cases []string
	}{
		{"reverted_configurations", reverted},
		{"lost_accepted_changes", lost},
	} {
		first := ""
		if len(c.cases) > 0 {
			first = "; first case: " + c.cases[0]
		}
		out = append(out, e.bounded(c.name, float64(len(c.cases)), "count", 0, note+first))
	}
	return out, err
}

// configurationFaults returns the faults in order. Each lasts until the next one
// of the same component.
func (r *testCluster) configurationFaults(ctx context.Context) []func() error {
	setFaults := func(f table.Faults) func() error {
		return func() error { r.Table.SetFaults(f); return nil }
	}
	storeDownDuring := func(during func() error) func() error {
		return func() error {
			r.Table.SetFaults(table.Faults{Down: true})
			pause(ctx, outageDuration/2)
			err := during()
			pause(ctx, outageDuration/2)
			r.Table.SetFaults(table.Faults{StaleReads: true})
			return err
		}
	}
	kill := func(i int) func() error {
		return func() error { r.VMs[i].Kill(); return nil }
	}
	return []func() error{
		setFaults(table.Faults{DropResponses: 5}),
		kill(0),
		setFaults(table.Faults{StaleReads: true, DropResponses: 3}),
		r.VMs[0].Start,
		func() error { r.VMs[1].Pause(); pause(ctx, outageDuration); r.VMs[1].Resume(); return nil },
		kill(2),
		storeDownDuring(r.VMs[2].Start),
		setFaults(table.Faults{Delay: 20 * time.Millisecond, DropResponses: 5}),
		kill(3),
		kill(0),
		r.VMs[3].Start,
		r.VMs[0].Start,
		storeDownDuring(func() error { r.VMs[1].Kill(); return r.VMs[1].Start() }),
		setFaults(table.Faults{DropResponses: 5}),
		setFaults(table.Faults{}),
	}
}
