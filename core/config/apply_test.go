package config

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// apply applies a change that must succeed, on the newest revision.
func apply(t *testing.T, doc *Document, id, by string, kind ChangeKind, name string) *Document {
	t.Helper()
	next, err := Apply(doc, Change{OperationID: id, BaseRevision: doc.Revision, By: by, Kind: kind, Name: name})
	require.NoError(t, err)
	return next
}

// TestApplyConflicts guards against lost updates: a change must conflict if
// another operator changed the same entity after its base revision.
func TestApplyConflicts(t *testing.T) {
	base := initialDocument(t)
	service := base.Services[0]
	with := func(edit func(*Service)) *Service {
		s := service
		s.Upstreams = append([]Upstream(nil), service.Upstreams...)
		edit(&s)
		return &s
	}
	preset := base.Presets[1]
	newUpstream := &Upstream{ID: "tray-4", Address: "127.0.0.1:9004", FailureDomain: "howrah"}
	put := Change{Kind: PutService, Service: with(func(s *Service) { s.MaxBody = 5 })}
	replaceFirst := Change{Kind: PutService, Service: with(func(s *Service) { s.Upstreams[0].FailureDomain = "sealdah" })}
	add := Change{Kind: AddUpstream, Name: "trayhouse", Upstream: newUpstream}
	named := func(kind ChangeKind, name string) Change { return Change{Kind: kind, Name: name} }
	for _, c := range []struct {
		theirs, ours Change
		entity       string // empty: both take effect
	}{
		{named(SetPreset, "peak"), named(SetPreset, "peak"), "active preset"},
		{named(SetPreset, "peak"), Change{Kind: PutPreset, Preset: &preset}, ""},
		{Change{Kind: PutPreset, Preset: &preset}, Change{Kind: PutPreset, Preset: &preset}, "preset peak"},
		{named(DomainOut, "howrah"), named(DomainOut, "howrah"), "failure domain howrah"},
		{named(DomainOut, "howrah"), named(DomainOut, "sealdah"), ""},
		{named(PutFailureDomain, "barasat"), named(PutFailureDomain, "barasat"), "failure domain barasat"},
		{named(VMOut, "vm-1"), named(VMIn, "vm-1"), "VM vm-1"},
		{named(VMOut, "vm-1"), named(VMOut, "vm-2"), ""},
		{named(DrainUpstream, "tray-1"), named(Undrain, "tray-1"), "upstream tray-1"},
		{named(ConfirmLost, "tray-1"), named(RemoveUpstream, "tray-1"), "upstream tray-1"},
		{named(DrainUpstream, "tray-1"), named(DrainUpstream, "tray-2"), ""},
		{named(DrainUpstream, "tray-1"), put, ""},
		{named(DrainUpstream, "tray-1"), replaceFirst, "upstream tray-1"},
		{replaceFirst, named(DrainUpstream, "tray-1"), "upstream tray-1"},
		{put, put, "service trayhouse"},
		{put, add, "service trayhouse"},
		{add, add, "upstream tray-4"},
		{add, put, "upstream tray-4"},
		{add, named(RemoveService, "trayhouse"), "upstream tray-4"},
		{named(RemoveService, "trayhouse"), put, "service trayhouse"},
		{named(RemoveService, "trayhouse"), add, "service trayhouse"},
		{named(RemoveService, "trayhouse"), named(RemoveService, "trayhouse"), "service trayhouse"},
	} {
		what := fmt.Sprintf("%s %s after %s %s", c.ours.Kind, c.ours.Name, c.theirs.Kind, c.theirs.Name)
		c.theirs.OperationID, c.theirs.By, c.theirs.BaseRevision = "theirs", "bela", base.Revision
		c.ours.OperationID, c.ours.By, c.ours.BaseRevision = "ours", "csilla", base.Revision
		doc, err := Apply(base, c.theirs)
		require.NoError(t, err, what)
		next, err := Apply(doc, c.ours)
		if c.entity == "" {
			require.NoError(t, err, what)
			require.Equal(t, uint64(3), next.Revision)
			for _, d := range Diff(base, doc) {
				require.Contains(t, Diff(base, next), d, "%s reverted the first change", what)
			}
			continue
		}
		var conflict *ConflictError
		require.True(t, errors.As(err, &conflict), "%s: %v", what, err)
		require.Equal(t, ConflictError{Entity: c.entity, By: "bela", ChangedAt: 2, BaseRevision: 1}, *conflict, what)
		require.Contains(t, conflict.Error(), "bela at revision 2")
		require.Contains(t, conflict.Error(), "remedy: read revision 2")
		require.Nil(t, next)
	}
}

func TestApplyRefuses(t *testing.T) {
	doc := initialDocument(t)
	s := doc.Services[0]
	ranges, dropped, moved := s, s, s
	ranges.Ranges = 128
	dropped.Upstreams = s.Upstreams[1:]
	moved.Upstreams = append([]Upstream(nil), s.Upstreams...)
	moved.Upstreams[0].Address = "127.0.0.1:9999"
	bad := doc.Presets[0]
	bad.HedgeBudget = 2
	up := &Upstream{ID: "tray-9", Address: "127.0.0.1:9003", FailureDomain: "howrah"}
	for _, c := range []struct {
		ch      Change
		kind    RefusalKind
		message string
	}{
		{Change{Kind: SetPreset, Name: "quiet"}, NotFound, "no preset"},
		{Change{Kind: DomainOut, Name: "quiet"}, NotFound, "no failure domain"},
		{Change{Kind: RemoveService, Name: "quiet"}, NotFound, "no service"},
		{Change{Kind: AddUpstream, Name: "quiet", Upstream: up}, NotFound, "no service"},
		{Change{Kind: DrainUpstream, Name: "quiet"}, NotFound, "no upstream"},
		{Change{Kind: RemoveUpstream, Name: "tray-1"}, NotPermitted, "may own keys"},
		{Change{Kind: PutService, Service: &ranges}, NotPermitted, "cannot change"},
		{Change{Kind: PutService, Service: &dropped}, NotPermitted, "may own keys"},
		{Change{Kind: PutService, Service: &moved}, NotPermitted, "may own keys"},
		{Change{Kind: AddUpstream, Name: "trayhouse", Upstream: &s.Upstreams[0]}, NotPermitted, "already"},
		{Change{Kind: AddUpstream, Name: "trayhouse", Upstream: up}, InvalidResult, "used twice"},
		{Change{Kind: PutPreset, Preset: &bad}, InvalidResult, "hedge_budget: 2 is out of range"},
		{Change{Kind: SetPreset, Name: "peak", BaseRevision: 9}, FutureBase, "revision 9"},
		{Change{Kind: SetPreset, Name: "peak", OperationID: "init"}, OperationReused, "belongs to a change of configuration"},
		{Change{Kind: SetPreset, Name: "peak", OperationID: "a b"}, BadChange, "not valid"},
		{Change{Kind: SetPreset}, BadChange, "needs the field name"},
		{Change{Kind: SetPreset, Name: "a/b"}, BadChange, "not a valid name"},
		{Change{Kind: SetPreset, Name: "peak", Preset: &bad}, BadChange, "does not use the field preset"},
		{Change{Kind: "reset"}, BadChange, `no change of kind "reset"`},
		{Change{Kind: PutPreset}, BadChange, "needs the field preset"},
		{Change{Kind: PutService}, BadChange, "needs the field service"},
		{Change{Kind: AddUpstream, Name: "trayhouse"}, BadChange, "needs the field upstream"},
		{Change{Kind: Init}, BadChange, "needs the field document"},
	} {
		if c.ch.OperationID == "" {
			c.ch.OperationID = "op"
		}
		c.ch.BaseRevision = max(c.ch.BaseRevision, 1)
		_, err := Apply(doc, c.ch)
		var refused *RefusalError
		require.True(t, errors.As(err, &refused), "%s %s: %v", c.ch.Kind, c.ch.Name, err)
		require.Equal(t, c.kind, refused.Kind, refused.Message)
		require.Contains(t, refused.Message, c.message)
		require.NotEmpty(t, refused.Remedy)
	}
	_, err := Apply(nil, Change{OperationID: "op", Kind: SetPreset, Name: "peak"})
	require.ErrorContains(t, err, "there is no configuration yet")
	_, err = Apply(doc, Change{OperationID: "op", Kind: Init, Document: doc})
	require.ErrorContains(t, err, "conflict: configuration was changed by anna at revision 1")
}

// TestApplyKeepsOperatorsState guards against a service file from before a drain
// that undrains the upstream, and against a confirmed loss that is kept after the
// removal of its upstream.
func TestApplyKeepsOperatorsState(t *testing.T) {
	doc := initialDocument(t)
	file := doc.Services[0]
	doc = apply(t, doc, "drain", "anna", DrainUpstream, "tray-1")
	doc, err := Apply(doc, Change{OperationID: "put", BaseRevision: doc.Revision, Kind: PutService, Service: &file})
	require.NoError(t, err)
	u, service, ok := doc.Upstream("tray-1")
	require.True(t, ok && u.Drained && service == "trayhouse")
	doc = apply(t, doc, "out", "anna", DomainOut, "howrah")
	doc = apply(t, doc, "domain", "anna", PutFailureDomain, "howrah")
	domain, ok := doc.Domain("howrah")
	require.True(t, ok && domain.Out)
	doc = apply(t, doc, "lost", "anna", ConfirmLost, "tray-3")
	doc, err = Apply(doc, Change{OperationID: "add", BaseRevision: doc.Revision, Kind: AddUpstream, Name: "trayhouse", Upstream: &Upstream{ID: "tray-4", Address: "127.0.0.1:9004", FailureDomain: "howrah"}})
	require.NoError(t, err)
	require.True(t, doc.UpstreamLost("tray-3"))
	require.False(t, apply(t, doc, "back", "anna", Undrain, "tray-3").UpstreamLost("tray-3"))
	require.False(t, apply(t, doc, "gone", "anna", RemoveUpstream, "tray-3").UpstreamLost("tray-3"))
}

// TestNoShardLosesItsLastUpstream guards against ranges that no upstream of their
// shard can serve.
func TestNoShardLosesItsLastUpstream(t *testing.T) {
	doc := initialDocument(t)
	counts := map[int]int{}
	for _, u := range doc.Services[0].Upstreams {
		counts[u.Shard]++
	}
	require.Len(t, counts, 2)
	for i, u := range doc.Services[0].Upstreams {
		drained := apply(t, doc, "drain", "anna", DrainUpstream, string(u.ID))
		_, err := Apply(drained, Change{OperationID: fmt.Sprint("remove-", i), BaseRevision: drained.Revision, Kind: RemoveUpstream, Name: string(u.ID)})
		if counts[u.Shard] == 1 {
			require.ErrorContains(t, err, "would have no upstream")
		} else {
			require.NoError(t, err)
		}
	}
}

// TestNewUpstreamsJoinTheSmallestShard guards against an assignment that depends
// on the order of the file: the new upstream comes before the known ones.
func TestNewUpstreamsJoinTheSmallestShard(t *testing.T) {
	doc, err := Parse("sample.json", []byte(sample))
	require.NoError(t, err)
	doc.Services[0].Upstreams = append(doc.Services[0].Upstreams, Upstream{ID: "tray-4", Address: "127.0.0.1:9004", FailureDomain: "howrah"})
	doc, err = Apply(nil, Change{OperationID: "init", Kind: Init, Document: doc})
	require.NoError(t, err)
	for _, u := range doc.Services[0].Upstreams {
		if u.Shard == 1 { // leaves two upstreams in shard 0 and one in shard 1
			doc = apply(t, doc, "drain", "anna", DrainUpstream, string(u.ID))
			doc = apply(t, doc, "remove", "anna", RemoveUpstream, string(u.ID))
			break
		}
	}
	file := doc.Clone().Services[0]
	file.Upstreams = append([]Upstream{{ID: "tray-5", Address: "127.0.0.1:9005", FailureDomain: "howrah"}}, file.Upstreams...)
	next, err := Apply(doc, Change{OperationID: "put", BaseRevision: doc.Revision, Kind: PutService, Service: &file})
	require.NoError(t, err)
	for _, u := range doc.Services[0].Upstreams {
		after, _, _ := next.Upstream(u.ID)
		require.Equal(t, u.Shard, after.Shard, "%s changed its shard", u.ID)
	}
	added, _, _ := next.Upstream("tray-5")
	require.Equal(t, 1, added.Shard)
}

// TestUnrecordedOperationIsNotRepeated guards against a second effect of an
// operation that is retried after its record was dropped from the document.
func TestUnrecordedOperationIsNotRepeated(t *testing.T) {
	doc := initialDocument(t)
	ch := Change{OperationID: "mine", BaseRevision: doc.Revision, Kind: VMOut, Name: "vm-1"}
	doc, err := Apply(doc, ch)
	require.NoError(t, err)
	doc = apply(t, doc, "in", "bela", VMIn, "vm-1")
	for i := 0; len(doc.Operations) < MaxOperations || doc.Operations[0].Revision <= 2; i++ {
		_, err := Apply(doc, ch)
		require.NoError(t, err, "a retry of a recorded operation has no effect")
		doc = apply(t, doc, fmt.Sprintf("other-%d", i), "bela", VMOut, "vm-2")
	}
	require.Len(t, doc.Operations, MaxOperations)
	_, recorded := doc.Operation("mine")
	require.False(t, recorded)
	_, err = Apply(doc, ch)
	var conflict *ConflictError
	require.True(t, errors.As(err, &conflict), "%v", err)
	require.Equal(t, "configuration", conflict.Entity)
	require.False(t, doc.VMOut("vm-1"))
}

func TestNewerNeverGoesBack(t *testing.T) {
	one, two := &Document{Revision: 1}, &Document{Revision: 2}
	require.Same(t, two, Newer(one, two))
	require.Same(t, two, Newer(two, one))
	require.Same(t, one, Newer(one, &Document{Revision: 1}))
	require.Same(t, one, Newer(nil, one))
	require.Same(t, one, Newer(one, nil))
	require.Nil(t, Newer(nil, nil))
}

func TestDecodeRefuses(t *testing.T) {
	for text, message := range map[string]string{
		``:                                   "not JSON",
		`{"format": 2, "document": {}}`:      "format 2, this version reads 1",
		`{"format": 1}`:                      "no revision",
		`{"format": 1, "document": {}}`:      "no revision",
		`{"format": 1, "document": {"a":1}}`: `unknown field "a"`,
	} {
		_, err := Decode([]byte(text))
		var refused *RefusalError
		require.True(t, errors.As(err, &refused), "%q was not refused", text)
		require.Equal(t, BadStored, refused.Kind)
		require.Contains(t, refused.Message, message)
	}
}
