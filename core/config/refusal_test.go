package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/config/strict"
)

// replacement turns the sample into an invalid file, or a valid one if message is empty.
type replacement struct {
	old, with string
	line      int
	field     string
	message   string
}

var replacements = []replacement{
	{`"region": "bengal",`, `"region": "bengal", "regoin": "x",`, 3, "regoin", `there is no field "regoin"`},
	{`"region": "bengal",`, `"region": "bengal", "region": "x",`, 3, "region", "given twice, first at line 3"},
	{`"region": "bengal",`, ``, 1, "region", "missing"},
	{`"region": "bengal"`, `"region": 5`, 3, "region", "a number, not a string"},
	{`"region": "bengal"`, `"region": "Ben gal"`, 3, "region", `"Ben gal" is not a valid name`},
	{`"region": "bengal"`, `"region": null`, 3, "region", "null, not a string"},
	{`"region": "bengal",`, `"region": "bengal"`, 4, "", "after object value"},
	{`{"name": "sealdah"}]`, `{"name": "howrah"}]`, 4, "failure_domains[1].name", "used twice, first by failure_domains[0].name"},
	{`[{"name": "howrah"}, {"name": "sealdah"}]`, `[]`, 4, "failure_domains", "there is no failure domain"},
	{`[{"name": "howrah"}, {"name": "sealdah"}]`, `{}`, 4, "failure_domains", "an object, not a list"},
	{`{"name": "sealdah"}]`, `"sealdah"]`, 4, "failure_domains[1]", "a string, not an object"},
	{`"keyed": true`, `"keyed": "yes"`, 7, "services[0].keyed", "not true or false"},
	{`"ranges": 64`, `"ranges": 0`, 7, "services[0].ranges", "0 is out of range"},
	{`"ranges": 64`, `"ranges": 64.5`, 7, "services[0].ranges", "64.5 is not a whole number"},
	{`"shards": 2`, `"shards": 4`, 7, "services[0].shards", "need at least as many upstreams, there are 3"},
	{`"shards": 2`, `"shards": 100`, 7, "services[0].shards", "cannot divide 64 ranges"},
	{`"upstream_checks": "fence"`, `"upstream_checks": "fences"`, 7, "services[0].upstream_checks", "not a kind of check"},
	{`"slots": 3`, `"slots": -1`, 8, "services[0].slots", "-1 is out of range"},
	{`"connections": 50`, `"connections": 2`, 8, "services[0].connections", "2 connections cannot use 3 slots"},
	{`"max_body": 65536`, `"max_body": "64KiB"`, 8, "services[0].max_body", "not a whole number"},
	{`"max_body": 65536`, `"max_body": 1048577`, 8, "services[0].max_body", "out of range"},
	{`"max_body": 65536`, `"max_body": 65536, "warm_up_answers": -1`, 8, "services[0].warm_up_answers", "out of range"},
	{`"max_body": 65536`, `"max_body": 65536, "warm_up_answers": 200`, 0, "", ""},
	{`"tray-2"`, `"tray-1"`, 11, "services[0].upstreams[1].id", `upstream "tray-1" is used twice`},
	{`127.0.0.1:9002`, `127.0.0.1:9001`, 11, "services[0].upstreams[1].address", "used twice"},
	{`127.0.0.1:9002`, `tray.example:9002`, 11, "services[0].upstreams[1].address", "not an IP address with a port"},
	{`127.0.0.1:9002`, `127.0.0.1:0`, 11, "services[0].upstreams[1].address", "port 0"},
	{`127.0.0.1:9002`, `0.0.0.0:9002`, 11, "services[0].upstreams[1].address", "not the address of one machine"},
	{`"failure_domain": "howrah"`, `"failure_domain": "horwah"`, 10, "services[0].upstreams[0].failure_domain", `no failure domain "horwah"`},
	{`"name": "ordinary"`, `"name": "peak"`, 23, "presets[1].name", `preset "peak" is used twice`},
	{`"queue_length": 20`, `"queue_length": 0`, 18, "presets[0].queue_length", "out of range"},
	{`"slot_factor": 1,`, `"slot_factor": 0.3,`, 18, "presets[0].slot_factor", "none could run"},
	{`"slot_factor": 1,`, `"slot_factor": 17,`, 18, "presets[0].slot_factor", "17 is out of range"},
	{`"slots": 3, "connections": 50`, `"slots": 3, "connections": 3`, 0, "", ""},
	{`"retry_budget": 0.1,`, `"retry_budget": 10,`, 18, "presets[0].retry_budget", "10 is out of range"},
	{`"hedge_budget": 0.05`, `"hedge_budget": 1.05`, 18, "presets[0].hedge_budget", "1.05 is out of range"},
	{`"hedge_budget": 0.05`, `"hedge_budget": "5%"`, 18, "presets[0].hedge_budget", "not a number"},
	{`"hedge_budget": 0.05`, `"hedge_budget": 1e999`, 18, "presets[0].hedge_budget", "not a number in range"},
	{`"domain_reserve": 0.25`, `"domain_reserve": 1`, 19, "presets[0].domain_reserve", "out of range"},
	{`"ramp_step": 1`, `"ramp_step": 0`, 19, "presets[0].ramp_step", "never reach its full limit"},
	{`"cold_start": 1`, `"cold_start": 0`, 19, "presets[0].cold_start", "out of range"},
	{`"moves_per_second": 5`, `"moves_per_second": -5`, 19, "presets[0].moves_per_second", "out of range"},
	{`"rebalance_above": 1.15`, `"rebalance_above": 0.9`, 19, "presets[0].rebalance_above", "out of range"},
	{`"rebalance_after": "10s"`, `"rebalance_after": 10`, 20, "presets[0].rebalance_after", "a number has no unit"},
	{`"default_timeout": "2s"`, `"default_timeout": "2 seconds"`, 20, "presets[0].default_timeout", "not a duration with a unit"},
	{`"default_timeout": "2s"`, `"default_timeout": "0s"`, 20, "presets[0].default_timeout", "0s is out of range"},
	{`"lame_duck": "2s"`, `"lame_duck": "2h"`, 20, "presets[0].lame_duck", "out of range"},
	{`"active_preset": "ordinary"`, `"active_preset": "quiet"`, 28, "active_preset", `no preset "quiet"`},
	{`"active_preset": "ordinary"`, `"active_preset": "peak", "vms_out": ["a", "a"]`, 28, "vms_out[1]", `VM "a" is used twice`},
	{`"active_preset": "ordinary"`, `"active_preset": "peak", "lost_upstreams": ["tray-9"]`, 28, "lost_upstreams[0]", `no service has the upstream "tray-9"`},
	{`"active_preset": "ordinary"`, `"active_preset": "peak", "revision": -1`, 28, "revision", "-1 is not a whole number"},
}

func TestParseRefuses(t *testing.T) {
	for _, r := range replacements {
		text := strings.Replace(sample, r.old, r.with, 1)
		require.NotEqual(t, sample, text, "nothing replaced for %s", r.old)
		_, err := Parse("f.json", []byte(text))
		if r.message == "" { // just within a limit
			require.NoError(t, err, r.with)
			continue
		}
		var problem *strict.Problem
		require.True(t, errors.As(err, &problem), "%s was not refused: %v", r.with, err)
		require.Contains(t, problem.Message, r.message)
		require.Equal(t, r.field, problem.Field, r.with)
		require.Equal(t, r.line, problem.Line, r.with)
		require.Equal(t, "f.json", problem.File)
		require.NotEmpty(t, problem.Remedy)
	}
}

// TestParseReportsEachProblemOnce guards against stopping at the first problem
// and against follow-up problems caused by values that could not be decoded.
func TestParseReportsEachProblemOnce(t *testing.T) {
	text := sample
	for _, r := range []replacement{
		{old: `"slots": 3`, with: `"slots": "3"`},
		{old: `"connections": 50`, with: `"connections": 0`},
		{old: `{"name": "howrah"}`, with: `{"name": 1}`},
		{old: `"tray-3"`, with: `"tray-1"`},
		{old: `"default_timeout": "1500ms"`, with: `"default_timeout": 1500`},
	} {
		text = strings.Replace(text, r.old, r.with, 1)
	}
	_, err := Parse("f.json", []byte(text))
	var all strict.Errors
	require.True(t, errors.As(err, &all))
	var fields []string
	for _, p := range all {
		fields = append(fields, p.Field)
	}
	require.Equal(t, []string{
		"failure_domains[0].name", "services[0].slots", "services[0].connections",
		"services[0].upstreams[2].id", "presets[1].default_timeout",
	}, fields)
}

func TestParseRefusesTwoServicesThatShareAnUpstream(t *testing.T) {
	text := sample
	start, end := strings.Index(text, "    {\n      \"name\": \"trayhouse\""), strings.Index(text, "  ],\n  \"presets\"")
	one := strings.NewReplacer("trayhouse", "dispatchdesk", "tray-2", "desk-2", "9002", "9012", "tray-3", "desk-3", "9003", "9013", "9001", "9011").Replace(text[start:end])
	_, err := Parse("f.json", []byte(text[:end]+one+text[end:]))
	var all strict.Errors
	require.True(t, errors.As(err, &all))
	require.Len(t, all, 1)
	require.Equal(t, "services[1].upstreams[0].id", all[0].Field)
}

func TestParseRefusesInvalidText(t *testing.T) {
	for text, message := range map[string]string{
		"":                                 "unexpected EOF",
		"[]":                               "a list, not an object",
		"{} {}":                            "after top-level value",
		strings.Repeat("[", 100000):        "nested more than 64 deep",
		strings.Repeat(" ", 16<<20) + "{}": "the limit is",
		"{\n\"a\": 'x'}":                   "invalid",
	} {
		_, err := Parse("f.json", []byte(text))
		require.ErrorContains(t, err, message)
	}
	_, err := Parse("f.json", []byte(`{"region": "[[[\"[[" /* [[[[ */ // [[[
	}`+strings.Repeat("\n// [", 100)))
	require.NotContains(t, err.Error(), "nested", "brackets in strings and comments do not nest")
}

func TestParsePartsOfADocument(t *testing.T) {
	_, err := ParsePreset("p.json", []byte(`{"name": "x", "lame_duck": 3}`))
	require.ErrorContains(t, err, "p.json:1: lame_duck: a number has no unit")
	_, err = ParseService("s.json", []byte(`{"name": "x", "upstreams": [{"id": "a", "address": "b", "failure_domain": "c"}]}`))
	require.ErrorContains(t, err, `s.json:1: upstreams[0].address: "b" is not an IP address with a port`)
}
