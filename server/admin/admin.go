// Package admin serves the admin HTTP interface of an entry VM: the calls of
// operators, health checks and metrics.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/metrics"
	"dandelionhill.dev/server/settings"
)

// maxChangeBytes bounds the body of a change; a service with thousands of upstreams fits.
const maxChangeBytes = 4 << 20

// healthTimeout bounds the wait for the control loop in a health check.
const healthTimeout = time.Second

// watchPollInterval is how often a watch checks for a newer revision.
const watchPollInterval = 50 * time.Millisecond

// Config holds the dependencies of the admin interface.
type Config struct {
	Version  string
	Control  *control.Control
	Settings *settings.Settings
	Clock    func() time.Duration
	Metrics  *metrics.Metrics
	Log      zerolog.Logger
}

// Admin implements the admin interface.
type Admin struct{ cfg Config }

// New returns an admin interface.
func New(cfg Config) *Admin { return &Admin{cfg} }

// Handler serves the interface. All paths but health checks and metrics need a credential.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(admin.PathHealth, a.healthz)
	r.Get(admin.PathReady, a.readyz)
	r.Handle("/metrics", a.cfg.Metrics.Handler())
	r.Group(func(r chi.Router) {
		r.Use(a.authenticate)
		r.Get(admin.PathStatus, a.status)
		r.Get(admin.PathConfig, a.config)
		r.Post(admin.PathChanges, a.change)
		r.Get(admin.PathOperations+"{id}", a.operation)
		r.Get(admin.PathExplain, a.explain)
		r.Get(admin.PathWatch, a.watch)
	})
	return r
}

// healthz reports whether the control loop responds; if not, only a restart helps.
func (a *Admin) healthz(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), healthTimeout)
	defer cancel()
	if _, err := a.cfg.Control.Progress(ctx, 0); err != nil {
		http.Error(w, "the control loop does not respond", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}

// readyz reports whether the load balancer may send requests to this VM.
func (a *Admin) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.cfg.Control.Snapshot().Ready(a.cfg.Clock()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

type operatorKey struct{}

// authenticate rejects calls without the token of an operator in the settings.
func (a *Admin) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := a.cfg.Settings.Authenticate(token)
		if !found || !ok {
			writeAdminError(w, &admin.Error{
				Kind: admin.Unauthorized, Message: "the call has no valid credential",
				Remedy: "send the token of an operator who is listed in the VM's settings",
			})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.cfg.Control.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	status.Version = a.cfg.Version
	writeJSON(w, status)
}

func (a *Admin) config(w http.ResponseWriter, _ *http.Request) {
	doc := a.cfg.Control.Snapshot().Document
	if doc == nil {
		writeAdminError(w, noConfiguration())
		return
	}
	writeJSON(w, doc)
}

func noConfiguration() *admin.Error {
	return &admin.Error{
		Kind: admin.NotFound, Message: "this VM has no configuration yet",
		Remedy: "write the first document with dandelionctl init, or wait until the VM has read it",
	}
}

func (a *Admin) change(w http.ResponseWriter, r *http.Request) {
	var ch config.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ch); err != nil {
		writeAdminError(w, &admin.Error{Kind: admin.BadRequest, Message: err.Error(), Remedy: "send the change that dandelionctl makes"})
		return
	}
	ch.By, _ = r.Context().Value(operatorKey{}).(string)
	dryRun := r.URL.Query().Get(admin.QueryDryRun) == "true"
	before := a.cfg.Control.Snapshot().Document
	doc, err := a.cfg.Control.Change(r.Context(), ch, dryRun)
	if err != nil {
		writeError(w, err)
		return
	}
	result := admin.ChangeResult{DryRun: dryRun}
	for _, d := range config.Diff(before, doc) {
		result.Differences = append(result.Differences, admin.Difference{Entity: d.Entity, Kind: string(d.Kind)})
	}
	result.OperationStatus = admin.OperationStatus{OperationID: ch.OperationID, State: admin.StateUnknown}
	if !dryRun {
		a.cfg.Log.Info().Str("event", "change").Str("operation", ch.OperationID).Str("kind", string(ch.Kind)).
			Str("by", ch.By).Uint64("revision", doc.Revision).Msg("")
		if result.OperationStatus, err = a.progress(r.Context(), doc, ch.OperationID); err != nil {
			writeError(w, err)
			return
		}
	}
	writeJSON(w, result)
}

// progress returns the state of an operation of a document.
func (a *Admin) progress(ctx context.Context, doc *config.Document, id string) (admin.OperationStatus, error) {
	status := admin.OperationStatus{OperationID: id, State: admin.StateUnknown}
	op, ok := doc.Operation(id)
	if !ok {
		return status, nil
	}
	progress, err := a.cfg.Control.Progress(ctx, op.Revision)
	if err != nil {
		return status, err
	}
	status.Revision, status.VMs, status.Waiting = op.Revision, progress.Have, progress.Missing
	switch {
	case progress.InForce:
		status.State = admin.StateInForce
	case progress.Accepted:
		status.State = admin.StateAccepted
	default:
		status.State = admin.StatePending
	}
	return status, nil
}

func (a *Admin) operation(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	doc := a.cfg.Control.Snapshot().Document
	if doc == nil || !hasOperation(doc, id) {
		// The operation may be in a newer revision than this VM has read.
		stored, err := a.cfg.Control.ReadDocument(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		doc = stored
	}
	if doc == nil {
		writeJSON(w, admin.OperationStatus{OperationID: id, State: admin.StateUnknown})
		return
	}
	status, err := a.progress(r.Context(), doc, id)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, status)
}

func hasOperation(doc *config.Document, id string) bool {
	_, ok := doc.Operation(id)
	return ok
}

func (a *Admin) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(admin.QuerySince), 10, 64)
	if err != nil {
		writeAdminError(w, &admin.Error{Kind: admin.BadRequest, Message: "since is not a revision", Remedy: "send a whole number from 0"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), admin.WatchTimeout)
	defer cancel()
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	for {
		if doc := a.cfg.Control.Snapshot().Document; doc != nil && doc.Revision > since {
			data, err := json.Marshal(doc)
			if err != nil {
				writeError(w, err)
				return
			}
			writeJSON(w, admin.Watch{Revision: doc.Revision, Document: data})
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return // the caller has left before the end of the watch
			}
			writeJSON(w, admin.Watch{Revision: since})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(data, '\n'))
}
