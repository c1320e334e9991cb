package admin

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
)

// explain reports how a request with a key is routed and why.
func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	s := a.cfg.Control.Snapshot()
	if s.Document == nil {
		writeAdminError(w, noConfiguration())
		return
	}
	name, key := api.ServiceName(r.URL.Query().Get(admin.QueryService)), r.URL.Query().Get(admin.QueryKey)
	service, ok := s.Services[name]
	if !ok {
		writeAdminError(w, &admin.Error{
			Kind: admin.NotFound, Message: fmt.Sprintf("there is no service %q", name),
			Remedy: "use a service name that dandelionctl status lists",
		})
		return
	}
	x := admin.Explanation{Service: name, Key: key, Hash: fmt.Sprintf("%016x", xxhash.Sum64String(key)), Revision: s.Document.Revision}
	step := func(format string, args ...any) { x.Steps = append(x.Steps, fmt.Sprintf(format, args...)) }
	if service.Keyed {
		x.Range, x.Shard, ok = service.Routes.ByKey(key)
		step("The hash of the key, %s, falls into range %d of %d.", x.Hash, x.Range, service.Ranges)
		if ok {
			span := service.Layout[x.Shard.Index]
			step("Range %d is in shard %s, which has ranges %d to %d.", x.Range, x.Shard, span.First, span.Last)
		}
	} else {
		x.Shard, ok = service.Routes.ByRequestID(key)
		step("Service %s is not keyed. A request that is not idempotent goes to the shard of its request ID, here %s.", name, x.Shard)
	}
	if !ok {
		step("No shard has this range.")
		writeJSON(w, x)
		return
	}
	holder, held := s.Holders[x.Shard]
	if !held {
		step("No VM is known to hold shard %s; requests are refused as not run.", x.Shard)
		writeJSON(w, x)
		return
	}
	x.Holder, x.Fence = holder.VM, holder.Fence
	step("VM %s holds shard %s with fence %s and sends all its requests.", x.Holder, x.Shard, x.Fence)
	if service.Keyed {
		a.explainOwner(r, &x, step)
	}
	writeJSON(w, x)
}

func (a *Admin) explainOwner(r *http.Request, x *admin.Explanation, step func(string, ...any)) {
	owner, reason := a.cfg.Control.Owner(r.Context(), x.Shard, x.Key, x.Range)
	x.Owner = owner
	if owner == "" {
		step("The range has no owner at the moment: %s.", reason)
		return
	}
	step("Upstream %s owns the range: %s.", owner, reason)
}
