package gateway

import (
	"os"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/platform/fleet"
)

// Settings holds what one entry VM must know before it reads the store.
type Settings struct {
	// VM names this entry VM.
	VM api.VMID `json:"vm"`
	// FailureDomain names the failure domain of this VM.
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// Listen holds the addresses at which the VM accepts connections.
	Listen Listen `json:"listen"`
	// Store is the address of the platform's store, IP:port.
	Store string `json:"store"`
	// Bounds lists limits that hold for all VMs together, as NAME=VALUE.
	Bounds []string `json:"bounds"`
	// MemoryMB is the memory of the VM in megabytes.
	MemoryMB int `json:"memory_mb"`
	// LogLevel is the least level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Listen holds addresses in the form IP:port.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string `json:"callers"`
	// Health is the address at which the balancer asks whether the VM is ready.
	Health string `json:"health"`
	// Peers is the address for the other entry VMs.
	Peers string `json:"peers"`
	// Metrics is the address of the metrics, at path /metrics.
	Metrics string `json:"metrics"`
}

// LoadSettings reads and checks a settings file: JSON with comments. The error
// names each problem with its line.
func LoadSettings(path string) (*Settings, fleet.Bounds, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fleet.Bounds{}, errors.Wrap(err, "cannot read the settings file: name a readable file with -settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings checks the content of a settings file.
func ParseSettings(name string, data []byte) (*Settings, fleet.Bounds, error) {
	s := Settings{LogLevel: "info"}
	c := strict.Decode(name, data, &s)
	for field, value := range map[string]string{
		"vm": string(s.VM), "failure_domain": string(s.FailureDomain), "store": s.Store,
		"listen.callers": s.Listen.Callers, "listen.health": s.Listen.Health,
		"listen.peers": s.Listen.Peers, "listen.metrics": s.Listen.Metrics,
	} {
		if value == "" {
			c.Add(field, "write a value", "%s is empty", field)
		}
	}
	if s.MemoryMB <= 0 {
		c.Add("memory_mb", "write the memory of the VM in megabytes", "%d is out of range", s.MemoryMB)
	}
	bounds, err := fleet.ParseBounds(s.Bounds)
	if err != nil {
		c.Add("bounds", "write NAME=NUMBER", "%s", err)
	}
	if err := c.Err(); err != nil {
		return nil, fleet.Bounds{}, err
	}
	return &s, bounds, nil
}
