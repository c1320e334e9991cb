package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
)

const example = "../../../examples/hooghly/configuration.json"

// store is the state that the admin servers of a test share.
type store struct {
	mu  sync.Mutex
	doc *config.Document
	// state is the state of operations that took effect.
	state admin.OperationState
	// posts counts the changes received, queries the queries of operations.
	posts, queries int
	// staleReads is how many further queries return "unknown", as from a lagging VM.
	staleReads int
	// onQuery runs at each query of an operation.
	onQuery func(s *store)
}

// server is the admin interface of one VM with faults.
type server struct {
	*store
	// dropBefore and dropAfter are how many connections to close instead of
	// responding to a change, before and after it takes effect.
	dropBefore, dropAfter int
	// fail is the error returned to every request, if not nil.
	fail *admin.Error
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fail != nil:
		reply(w, s.fail.Status(), s.fail)
	case r.Header.Get("Authorization") != "Bearer secret":
		e := &admin.Error{Kind: admin.Unauthorized, Message: "the token is not known", Remedy: "give a valid token"}
		reply(w, e.Status(), e)
	case r.URL.Path == admin.PathStatus:
		reply(w, 200, admin.Status{
			VM: "ben-vm-01", Revision: s.doc.Revision, ActivePreset: s.doc.ActivePreset,
			VMs:       []admin.VMStatus{{ID: "ben-vm-02", State: "suspect"}},
			Shards:    []admin.ShardStatus{{Shard: api.ShardID{Service: "trayhouse", Index: 1}, Holder: "ben-vm-03", Fence: api.NewFence(2, 7)}},
			Upstreams: []admin.UpstreamStatus{{ID: "trayhouse-01", State: "cold", Queued: 42}},
		})
	case r.URL.Path == admin.PathConfig:
		reply(w, 200, s.doc)
	case r.URL.Path == admin.PathExplain:
		q := r.URL.Query()
		reply(w, 200, admin.Explanation{Service: api.ServiceName(q.Get("service")), Key: q.Get("key"), Shard: api.ShardID{Service: "trayhouse"}, Owner: "trayhouse-07", Steps: []string{"the shard has a holder"}})
	case r.URL.Path == admin.PathWatch:
		next, err := config.Apply(s.doc, config.Change{OperationID: "watched", BaseRevision: s.doc.Revision, Kind: config.DomainOut, Name: "howrah"})
		if err != nil {
			panic(err)
		}
		data, err := json.Marshal(next)
		if err != nil {
			panic(err)
		}
		reply(w, 200, admin.Watch{Revision: next.Revision, Document: data})
	case strings.HasPrefix(r.URL.Path, admin.PathOperations):
		s.operation(w, strings.TrimPrefix(r.URL.Path, admin.PathOperations))
	case r.URL.Path == admin.PathChanges && r.Method == http.MethodPost:
		s.change(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *server) operation(w http.ResponseWriter, id string) {
	s.queries++
	if s.onQuery != nil {
		s.onQuery(s.store)
	}
	if s.staleReads > 0 {
		s.staleReads--
		reply(w, 200, admin.OperationStatus{OperationID: id, State: admin.StateUnknown})
		return
	}
	reply(w, 200, s.status(id))
}

func (s *server) status(id string) admin.OperationStatus {
	op, ok := s.doc.Operation(id)
	if !ok {
		return admin.OperationStatus{OperationID: id, State: admin.StateUnknown}
	}
	return admin.OperationStatus{OperationID: id, State: s.state, Revision: op.Revision, Waiting: []api.VMID{"ben-vm-09"}}
}

func (s *server) change(w http.ResponseWriter, r *http.Request) {
	s.posts++
	var ch config.Change
	if err := json.NewDecoder(r.Body).Decode(&ch); err != nil {
		reply(w, 400, &admin.Error{Kind: admin.BadRequest, Message: err.Error(), Remedy: "send JSON"})
		return
	}
	if s.dropBefore > 0 {
		s.dropBefore--
		panic(http.ErrAbortHandler)
	}
	next, err := config.Apply(s.doc, ch)
	var conflict *config.ConflictError
	var refused *config.RefusalError
	switch {
	case errors.As(err, &conflict):
		reply(w, 409, &admin.Error{Kind: admin.Conflict, Message: conflict.Message(), Remedy: conflict.Remedy()})
		return
	case errors.As(err, &refused):
		reply(w, 422, &admin.Error{Kind: admin.Refused, Message: refused.Message, Remedy: refused.Remedy})
		return
	}
	var differences []admin.Difference
	for _, d := range config.Diff(s.doc, next) {
		differences = append(differences, admin.Difference{Entity: d.Entity, Kind: string(d.Kind)})
	}
	if r.URL.Query().Get(admin.QueryDryRun) == "true" {
		reply(w, 200, admin.ChangeResult{DryRun: true, Differences: differences})
		return
	}
	s.doc = next
	if s.dropAfter > 0 {
		s.dropAfter--
		panic(http.ErrAbortHandler)
	}
	reply(w, 200, admin.ChangeResult{OperationStatus: s.status(ch.OperationID), Differences: differences})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fixture is a tool with admin servers on loopback addresses.
type fixture struct {
	t       *testing.T
	store   *store
	servers []*server
	args    []string
	// sleeps is the number of sleeps before the tool's timeout expires. No time
	// passes otherwise.
	sleeps int
}

func newFixture(t *testing.T, servers int) *fixture {
	t.Helper()
	data, err := os.ReadFile(example)
	require.NoError(t, err)
	doc, err := config.Parse(example, data)
	require.NoError(t, err)
	doc, err = config.Apply(nil, config.Change{OperationID: "first", Kind: config.Init, Document: doc})
	require.NoError(t, err)
	f := &fixture{t: t, store: &store{doc: doc, state: admin.StateAccepted}, sleeps: 10}
	f.args = []string{"--token-file", f.file("secret\n"), "--timeout", "1m"}
	for range servers {
		s := &server{store: f.store}
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		f.servers = append(f.servers, s)
		f.args = append(f.args, "--admin", strings.TrimPrefix(h.URL, "http://"))
	}
	return f
}

// file writes a temporary file and returns its path.
func (f *fixture) file(text string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "file")
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run returns the exit code and the output of the tool.
func (f *fixture) run(args ...string) (code int, out, errOut string) {
	f.t.Helper()
	var o, e bytes.Buffer
	sleeps := f.sleeps
	tool := &tool{
		out: &o, errOut: &e, newID: func() string { return "new-id" },
		sleep: func(context.Context, time.Duration) error {
			if sleeps--; sleeps < 0 {
				return context.DeadlineExceeded
			}
			return nil
		},
	}
	code = tool.run(context.Background(), append(append([]string(nil), f.args...), args...))
	return code, o.String(), e.String()
}
