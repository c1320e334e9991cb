package config

import (
	"slices"

	"dandelionhill.dev/api"
)

// putService adds or replaces a service. The drained state of upstreams is kept,
// so that an older service file does not undrain upstreams.
func (a *changeApplier) putService() error {
	s := *a.change.Service
	s.Upstreams = slices.Clone(s.Upstreams)
	i := slices.IndexFunc(a.doc.Services, func(o Service) bool { return o.Name == s.Name })
	if i < 0 {
		a.setModified(&s)
		a.doc.Services = append(a.doc.Services, s)
		return a.checkConflict(serviceEntity(s.Name), 0)
	}
	old := a.doc.Services[i]
	if err := a.checkConflict(serviceEntity(s.Name), old.ModifiedAt); err != nil {
		return err
	}
	if s.Keyed != old.Keyed || s.Ranges != old.Ranges || s.Shards != old.Shards {
		// VMs adopt a revision at different times. With another division into
		// ranges or shards, two holders could own one key in between.
		return refuse(NotPermitted, "put a service with a new name and move its callers",
			"keyed, ranges and shards of service %s cannot change: two owners of one key could be active at once", s.Name)
	}
	kept := map[api.UpstreamID]bool{}
	for j := range s.Upstreams {
		u := &s.Upstreams[j]
		before, ok := findUpstream(old.Upstreams, u.ID)
		if !ok {
			if err := a.checkConflict(upstreamEntity(u.ID), 0); err != nil {
				return err
			}
			u.ModifiedAt = a.revision
			continue
		}
		kept[u.ID] = true
		u.Drained, u.Shard, u.ModifiedAt = before.Drained, before.Shard, before.ModifiedAt
		if *u == before {
			continue
		}
		if err := a.checkConflict(upstreamEntity(u.ID), before.ModifiedAt); err != nil {
			return err
		}
		if u.Address != before.Address {
			if err := a.checkRemovable(before); err != nil {
				return err
			}
		}
		u.ModifiedAt = a.revision
	}
	for _, before := range old.Upstreams {
		if kept[before.ID] {
			continue
		}
		if err := a.checkConflict(upstreamEntity(before.ID), before.ModifiedAt); err != nil {
			return err
		}
		if err := a.checkRemovable(before); err != nil {
			return err
		}
		a.clearLoss(before.ID)
	}
	s.ModifiedAt = a.revision
	a.doc.Services[i] = s
	return nil
}

func (a *changeApplier) setModified(s *Service) {
	s.ModifiedAt = a.revision
	for j := range s.Upstreams {
		s.Upstreams[j].ModifiedAt = a.revision
	}
}

func findUpstream(ups []Upstream, id api.UpstreamID) (Upstream, bool) {
	i := slices.IndexFunc(ups, func(u Upstream) bool { return u.ID == id })
	if i < 0 {
		return Upstream{}, false
	}
	return ups[i], true
}

// checkRemovable refuses to remove an upstream that may own keys: without it in
// the document, VMs would not wait until it has stopped before they move its keys.
func (a *changeApplier) checkRemovable(u Upstream) error {
	if u.Drained || a.doc.UpstreamLost(u.ID) {
		return nil
	}
	return refuse(NotPermitted, "drain the upstream, or confirm its loss, and repeat the change with a new operation ID",
		"upstream %s may own keys, so it cannot be removed or get another address", u.ID)
}

func (a *changeApplier) clearLoss(id api.UpstreamID) {
	a.doc.LostUpstreams = removeValue(a.doc.LostUpstreams, id)
}

// removeValue returns list without value; an empty result is nil, as after Decode.
func removeValue[T comparable](list []T, value T) []T {
	rest := slices.DeleteFunc(list, func(other T) bool { return other == value })
	if len(rest) == 0 {
		return nil
	}
	return rest
}

func (a *changeApplier) removeService() error {
	i := slices.IndexFunc(a.doc.Services, func(s Service) bool { return string(s.Name) == a.change.Name })
	if i < 0 {
		return a.serviceNotFound(api.ServiceName(a.change.Name))
	}
	s := a.doc.Services[i]
	if err := a.checkConflict(serviceEntity(s.Name), s.ModifiedAt); err != nil {
		return err
	}
	for _, u := range s.Upstreams {
		if err := a.checkConflict(upstreamEntity(u.ID), u.ModifiedAt); err != nil {
			return err
		}
		a.clearLoss(u.ID)
	}
	a.doc.Services = slices.Delete(a.doc.Services, i, i+1)
	return nil
}

// serviceNotFound returns the error for a missing service: a conflict if it was
// removed after the base revision.
func (a *changeApplier) serviceNotFound(name api.ServiceName) error {
	if err := a.checkConflict(serviceEntity(name), 0); err != nil {
		return err
	}
	return refuse(NotFound, "use a service that dandelionctl status lists", "there is no service %q", name)
}

func (a *changeApplier) addUpstream() error {
	u := *a.change.Upstream
	i := slices.IndexFunc(a.doc.Services, func(s Service) bool { return string(s.Name) == a.change.Name })
	if i < 0 {
		return a.serviceNotFound(api.ServiceName(a.change.Name))
	}
	s := &a.doc.Services[i]
	if err := a.checkConflict(serviceEntity(s.Name), s.ModifiedAt); err != nil {
		return err
	}
	if before, service, ok := a.doc.Upstream(u.ID); ok {
		if err := a.checkConflict(upstreamEntity(u.ID), before.ModifiedAt); err != nil {
			return err
		}
		return refuse(NotPermitted, "choose another ID or change the upstream with service put",
			"service %s has an upstream %q already", service, u.ID)
	}
	if err := a.checkConflict(upstreamEntity(u.ID), 0); err != nil {
		return err
	}
	u.ModifiedAt = a.revision
	s.Upstreams = append(s.Upstreams, u)
	return nil
}

// upstream returns the service and index of the upstream that the change names,
// after the conflict check.
func (a *changeApplier) upstream() (*Service, int, error) {
	id := api.UpstreamID(a.change.Name)
	for i := range a.doc.Services {
		s := &a.doc.Services[i]
		for j, u := range s.Upstreams {
			if u.ID == id {
				return s, j, a.checkConflict(upstreamEntity(id), u.ModifiedAt)
			}
		}
	}
	if err := a.checkConflict(upstreamEntity(id), 0); err != nil {
		return nil, 0, err
	}
	return nil, 0, refuse(NotFound, "use an upstream that dandelionctl status lists", "there is no upstream %q", id)
}

func (a *changeApplier) removeUpstream() error {
	s, j, err := a.upstream()
	if err != nil {
		return err
	}
	if err := a.checkRemovable(s.Upstreams[j]); err != nil {
		return err
	}
	a.clearLoss(s.Upstreams[j].ID)
	s.Upstreams = slices.Delete(s.Upstreams, j, j+1)
	return nil
}

// upstreamState drains, undrains or confirms the loss of an upstream.
func (a *changeApplier) upstreamState() error {
	s, j, err := a.upstream()
	if err != nil {
		return err
	}
	u := &s.Upstreams[j]
	switch a.change.Kind {
	case DrainUpstream:
		u.Drained = true
	case Undrain:
		u.Drained = false
		a.clearLoss(u.ID)
	case ConfirmLost:
		if !a.doc.UpstreamLost(u.ID) {
			a.doc.LostUpstreams = append(a.doc.LostUpstreams, u.ID)
		}
	}
	u.ModifiedAt = a.revision
	return nil
}
