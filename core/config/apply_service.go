package config

import (
	"slices"

	"dandelionhill.dev/api"
)

// putService replaces the description of a service. Whether upstreams are
// drained stays as it is, so that a service file that was written earlier does
// not put drained upstreams back to work.
func (a *application) putService() error {
	s := *a.ch.Service
	s.Upstreams = slices.Clone(s.Upstreams)
	i := slices.IndexFunc(a.doc.Services, func(o Service) bool { return o.Name == s.Name })
	if i < 0 {
		a.stampAll(&s)
		a.doc.Services = append(a.doc.Services, s)
		return a.touch(serviceEntity(s.Name), 0)
	}
	old := a.doc.Services[i]
	if err := a.touch(serviceEntity(s.Name), old.ModifiedAt); err != nil {
		return err
	}
	if s.Keyed != old.Keyed || s.Ranges != old.Ranges || s.Shards != old.Shards {
		// VMs adopt a revision at different moments. With another division into
		// ranges or shards, two holders could own one key meanwhile.
		return refuse(NotPermitted, "put a service with a new name and move its callers",
			"keyed, ranges and shards of service %s cannot change: two owners of one key could be active at once", s.Name)
	}
	kept := map[api.UpstreamID]bool{}
	for j := range s.Upstreams {
		u := &s.Upstreams[j]
		before, ok := find(old.Upstreams, u.ID)
		if !ok {
			if err := a.touch(upstreamEntity(u.ID), 0); err != nil {
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
		if err := a.touch(upstreamEntity(u.ID), before.ModifiedAt); err != nil {
			return err
		}
		if u.Address != before.Address {
			if err := a.removable(before); err != nil {
				return err
			}
		}
		u.ModifiedAt = a.revision
	}
	for _, before := range old.Upstreams {
		if kept[before.ID] {
			continue
		}
		if err := a.touch(upstreamEntity(before.ID), before.ModifiedAt); err != nil {
			return err
		}
		if err := a.removable(before); err != nil {
			return err
		}
		a.forgetLoss(before.ID)
	}
	s.ModifiedAt = a.revision
	a.doc.Services[i] = s
	return nil
}

func (a *application) stampAll(s *Service) {
	s.ModifiedAt = a.revision
	for j := range s.Upstreams {
		s.Upstreams[j].ModifiedAt = a.revision
	}
}

func find(ups []Upstream, id api.UpstreamID) (Upstream, bool) {
	i := slices.IndexFunc(ups, func(u Upstream) bool { return u.ID == id })
	if i < 0 {
		return Upstream{}, false
	}
	return ups[i], true
}

// removable refuses to remove an upstream that may own keys: once it is out of
// the document, no VM knows that it must stop before its keys move.
func (a *application) removable(u Upstream) error {
	if u.Drained || a.doc.UpstreamLost(u.ID) {
		return nil
	}
	return refuse(NotPermitted, "drain the upstream, or confirm its loss, and repeat the change with a new operation ID",
		"upstream %s may own keys, so it cannot be removed or get another address", u.ID)
}

func (a *application) forgetLoss(id api.UpstreamID) {
	a.doc.LostUpstreams = without(a.doc.LostUpstreams, id)
}

// without returns list without value; an empty result is nil, as after Decode.
func without[T comparable](list []T, value T) []T {
	rest := slices.DeleteFunc(list, func(other T) bool { return other == value })
	if len(rest) == 0 {
		return nil
	}
	return rest
}

func (a *application) removeService() error {
	i := slices.IndexFunc(a.doc.Services, func(s Service) bool { return string(s.Name) == a.ch.Name })
	if i < 0 {
		return a.noService(api.ServiceName(a.ch.Name))
	}
	s := a.doc.Services[i]
	if err := a.touch(serviceEntity(s.Name), s.ModifiedAt); err != nil {
		return err
	}
	for _, u := range s.Upstreams {
		if err := a.touch(upstreamEntity(u.ID), u.ModifiedAt); err != nil {
			return err
		}
		a.forgetLoss(u.ID)
	}
	a.doc.Services = slices.Delete(a.doc.Services, i, i+1)
	return nil
}

// noService is a conflict when the service was removed after the base revision.
func (a *application) noService(name api.ServiceName) error {
	if err := a.touch(serviceEntity(name), 0); err != nil {
		return err
	}
	return refuse(NotFound, "use a service that dandelionctl status lists", "there is no service %q", name)
}

func (a *application) addUpstream() error {
	u := *a.ch.Upstream
	i := slices.IndexFunc(a.doc.Services, func(s Service) bool { return string(s.Name) == a.ch.Name })
	if i < 0 {
		return a.noService(api.ServiceName(a.ch.Name))
	}
	s := &a.doc.Services[i]
	if err := a.touch(serviceEntity(s.Name), s.ModifiedAt); err != nil {
		return err
	}
	if before, service, ok := a.doc.Upstream(u.ID); ok {
		if err := a.touch(upstreamEntity(u.ID), before.ModifiedAt); err != nil {
			return err
		}
		return refuse(NotPermitted, "choose another ID or change the upstream with service put",
			"service %s has an upstream %q already", service, u.ID)
	}
	if err := a.touch(upstreamEntity(u.ID), 0); err != nil {
		return err
	}
	u.ModifiedAt = a.revision
	s.Upstreams = append(s.Upstreams, u)
	return nil
}

// upstream returns the named upstream in the copy, after the conflict check.
func (a *application) upstream() (*Service, int, error) {
	id := api.UpstreamID(a.ch.Name)
	for i := range a.doc.Services {
		s := &a.doc.Services[i]
		for j, u := range s.Upstreams {
			if u.ID == id {
				return s, j, a.touch(upstreamEntity(id), u.ModifiedAt)
			}
		}
	}
	if err := a.touch(upstreamEntity(id), 0); err != nil {
		return nil, 0, err
	}
	return nil, 0, refuse(NotFound, "use an upstream that dandelionctl status lists", "there is no upstream %q", id)
}

func (a *application) removeUpstream() error {
	s, j, err := a.upstream()
	if err != nil {
		return err
	}
	if err := a.removable(s.Upstreams[j]); err != nil {
		return err
	}
	a.forgetLoss(s.Upstreams[j].ID)
	s.Upstreams = slices.Delete(s.Upstreams, j, j+1)
	return nil
}

// upstreamState drains, undrains or confirms the loss of an upstream.
func (a *application) upstreamState() error {
	s, j, err := a.upstream()
	if err != nil {
		return err
	}
	u := &s.Upstreams[j]
	switch a.ch.Kind {
	case DrainUpstream:
		u.Drained = true
	case Undrain:
		u.Drained = false
		a.forgetLoss(u.ID)
	case ConfirmLost:
		if !a.doc.UpstreamLost(u.ID) {
			a.doc.LostUpstreams = append(a.doc.LostUpstreams, u.ID)
		}
	}
	u.ModifiedAt = a.revision
	return nil
}
