package soak

import (
	"fmt"
	"time"

	"dandelionhill.dev/platform/fleet"
)

// configure writes the next configuration, which routes unkeyedPath to the next service.
func (d *deployment) configure() {
	d.operator.Lock()
	defer d.operator.Unlock()
	d.nextConfiguration(nil)
}

// nextConfiguration writes the next configuration, from which keys are removed; d.operator is held.
func (d *deployment) nextConfiguration(removed []string) {
	d.version++
	at := d.putConfiguration()
	d.history.addChange(change{At: at, Service: d.unkeyedService()})
	if d.workspaces != nil {
		d.workspaces.acknowledge(at, removed)
	}
}

// unkeyedService returns the service of the present configuration; d.operator is held.
func (d *deployment) unkeyedService() string { return unkeyedServices[d.version%len(unkeyedServices)] }

// putConfiguration writes the present configuration and returns when; d.operator is held.
func (d *deployment) putConfiguration() time.Duration {
	services := ""
	for _, name := range unkeyedServices {
		services += fmt.Sprintf(`%q:{"HealthPath":"/health","MaxConns":60,"ColdStartS":0,"ColdPerS":50},`, name)
	}
	large, workspaces := "", ""
	if d.workspaces != nil {
		large = fmt.Sprintf(`,"l":{"Host":%q,"Prefix":%q,"RouteType":"download","TimeoutS":4,"TargetLatencyS":2,"Service":%q,"MaxAttempts":2}`, soakHost, largePath, d.unkeyedService())
		workspaces = `,"Tenants":` + string(d.workspaces.table())
	}
	d.store.Put(fleet.TableOperator, fleet.KeyConfiguration, fmt.Appendf(nil, `{"Version":"r%d","Routes":{
		"k":{"Host":%[2]q,"Prefix":%[3]q,"RouteType":"non_idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":"keyed","MaxAttempts":2},
		"p":{"Host":%[2]q,"Prefix":%[4]q,"RouteType":"idempotent","TimeoutS":2,"TargetLatencyS":0.5,"Service":%[5]q,"MaxAttempts":2}%[7]s},
		"Services":{%[6]s"keyed":{"HealthPath":"/health","MaxConns":60,"ColdStartS":0,"ColdPerS":50,"Sharded":true,"WarmupS":1}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":8000000,"HeaderTimeoutS":3,"IdleTimeoutS":15}%[8]s}`,
		d.version, soakHost, keyedPath, unkeyedPath, d.unkeyedService(), services, large, workspaces))
	return monotonic()
}
