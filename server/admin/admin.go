// Package admin serves operators, health checks and metrics.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/metrics"
	"dandelionhill.dev/server/settings"
)

// maxChange bounds a change in bytes: a service with thousands of upstreams fits.
const maxChange = 4 << 20

// Config holds what the admin interface needs from its surroundings.
type Config struct {
	Self     api.VMID
	Control  *control.Control
	Settings *settings.Settings
	Clock    func() time.Duration
	Metrics  *metrics.Metrics
	Log      zerolog.Logger
}

// Admin is the admin interface.
type Admin struct{ cfg Config }

// New returns an admin interface.
func New(cfg Config) *Admin { return &Admin{cfg} }

// Handler serves the interface. Everything but health checks needs a credential.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", a.healthz)
	r.Get("/readyz", a.readyz)
	r.Handle("/metrics", a.cfg.Metrics.Handler())
	r.Route("/v1", func(r chi.Router) {
		r.Use(a.authenticate)
		r.Post("/changes", a.change)
	})
	return r
}

// healthz says that the process runs; only a restart would mend a failure.
func (a *Admin) healthz(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if _, err := a.cfg.Control.Progress(ctx, 0); err != nil {
		http.Error(w, "the control loop does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}

// readyz says whether the balancer may send callers to this VM.
func (a *Admin) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.cfg.Control.Snapshot().Ready(a.cfg.Clock()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

type operatorKey struct{}

// authenticate lets only operators of the settings through.
func (a *Admin) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := a.cfg.Settings.Authenticate(token)
		if !found || !ok {
			fail(w, http.StatusUnauthorized, "unauthorized", "the call has no valid credential",
				"send the token of an operator who is listed in the VM's settings")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func (a *Admin) change(w http.ResponseWriter, r *http.Request) {
	var ch config.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChange))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ch); err != nil {
		fail(w, http.StatusBadRequest, "bad_change", err.Error(), "send the change that dandelionctl makes")
		return
	}
	ch.By, _ = r.Context().Value(operatorKey{}).(string)
	doc, err := a.cfg.Control.Change(r.Context(), ch, r.URL.Query().Get("dry_run") == "true")
	if err != nil {
		failChange(w, err)
		return
	}
	answer(w, map[string]uint64{"revision": doc.Revision})
}

func failChange(w http.ResponseWriter, err error) {
	var conflict *config.ErrConflict
	var refused *config.ErrRefused
	switch {
	case errors.As(err, &conflict):
		fail(w, http.StatusConflict, "conflict", conflict.Message(), conflict.Remedy())
	case errors.As(err, &refused):
		fail(w, http.StatusUnprocessableEntity, string(refused.Kind), refused.Message, refused.Remedy)
	case errors.Is(err, control.ErrNoStore):
		fail(w, http.StatusServiceUnavailable, "store_unavailable", err.Error(), "send the same operation again later")
	default:
		fail(w, http.StatusInternalServerError, "internal", err.Error(), "send the same operation again")
	}
}

func fail(w http.ResponseWriter, status int, kind, message, remedy string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"kind": kind, "message": message, "remedy": remedy})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
