package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/platform/upstreamhttp"
)

// CrashMarker in the path of a request crashes every server that runs it.
const CrashMarker = "crash-upstream"

// errOtherIncarnation means that the times in the call are on the clock of an earlier
// incarnation.
var errOtherIncarnation = errors.New("the call is for another incarnation of this server: read its clock again")

// coldFactor is the factor on the service time of a cold server.
const coldFactor = 3

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+upstreamhttp.HealthPath, s.health)
	mux.HandleFunc("POST "+upstreamhttp.GrantPath, s.grant)
	mux.HandleFunc("POST "+upstreamhttp.DrainPath, s.drain)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.waitUnfrozen()
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.report())
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	s.waitUnfrozen()
	var grant platform.Grant
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var ranges []int
	for _, span := range grant.Ranges {
		for i := span.First; i <= span.Last; i++ {
			ranges = append(ranges, i)
		}
	}
	s.waitUnfrozen()
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errOtherIncarnation
	if grant.Incarnation == s.incarnation {
		until := time.Duration(grant.UntilMs) * time.Millisecond
		if grant.RenewsUntilMs != 0 && !s.cfg.NoRenewals {
			err = s.guard.Renew(s.clock(), grant.Fence, until, time.Duration(grant.RenewsUntilMs)*time.Millisecond)
		} else {
			err = s.guard.Grant(s.clock(), grant.Fence, until, ranges)
		}
	}
	result := platform.GrantResult{Accepted: err == nil, Health: s.report()}
	if err != nil {
		result.Reason = err.Error()
	}
	if errors.Is(err, lease.ErrUnknownGrant) {
		result.Refusal = platform.RefusalUnknownGrant
	}
	writeJSON(w, result)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.waitUnfrozen()
	var body struct{ On bool }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = body.On
	writeJSON(w, s.report())
}

// report returns the health report, with a load that is ReportLag old.
func (s *Server) report() platform.Health {
	now := time.Now()
	s.loadSamples = append(s.loadSamples, loadSample{now, float64(s.running+s.waiting) / float64(s.cfg.Slots)})
	for len(s.loadSamples) > 1 && now.Sub(s.loadSamples[1].at) >= s.cfg.ReportLag {
		s.loadSamples = s.loadSamples[1:]
	}
	load := s.loadSamples[0].load
	if s.faults.ReportIdle {
		load = 0
	}
	return platform.Health{
		Incarnation: s.incarnation, ClockMs: s.clock().Milliseconds(), Fence: s.guard.Fence(),
		Ready: true, Draining: s.draining, Load: load, SupportsRenewals: !s.cfg.NoRenewals,
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.waitUnfrozen()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(api.HeaderNonce, r.Header.Get(api.HeaderNonce))
	deadline := time.Duration(headerInt(r, api.HeaderDeadline)) * time.Millisecond
	fence := api.Fence(headerInt(r, api.HeaderFence))
	rangeNumber := int(headerInt(r, api.HeaderRange))
	ctx, stop, admitted, reason := s.admit(r, fence, rangeNumber, deadline)
	if reason != "" {
		writeShed(w, reason)
		return
	}
	defer stop()
	run := &Run{
		Upstream: s.cfg.ID, Key: r.Header.Get(api.HeaderKey), RequestID: r.Header.Get(api.HeaderRequestID),
		Fence: fence, Start: admitted,
	}
	s.record(run, false)
	run.Completed = s.execute(ctx, r.URL.Path)
	run.End = s.endTime(ctx, run.Completed)
	s.record(run, true)
	s.writeResponse(w, r, run, body)
}

// admit checks the request, waits for a slot and returns the context of the run, with the time of
// the check, from which on the run counts: it is never after the deadline, at which the run ends. A
// reason means that the request was not run.
func (s *Server) admit(r *http.Request, fence api.Fence, rangeNumber int, deadline time.Duration) (context.Context, func(), time.Time, string) {
	ctx := r.Context()
	s.mu.Lock()
	if s.waiting >= s.cfg.QueueLimit+s.cfg.Slots {
		s.stats.Sheds++
		s.mu.Unlock()
		return nil, nil, time.Time{}, "queue is full"
	}
	s.waiting++
	if s.cold() {
		s.stats.ColdOverload = math.Max(s.stats.ColdOverload, float64(s.waiting+s.running)/2)
	}
	slots := s.slots
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return nil, nil, time.Time{}, "caller left"
	}
	s.waitUnfrozen()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	admitted := time.Now()
	if err := s.check(r, fence, rangeNumber, deadline); err != nil {
		s.stats.Refused++
		<-slots
		return nil, nil, time.Time{}, err.Error()
	}
	s.running++
	runCtx, cancel := context.WithTimeout(ctx, deadline-s.clock())
	return runCtx, func() {
		cancel()
		<-slots
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}, admitted, ""
}

// check decides whether a request may start. A server without checks does not compare the
// incarnation either.
func (s *Server) check(r *http.Request, fence api.Fence, rangeNumber int, deadline time.Duration) error {
	if s.cfg.Checks != lease.ChecksNone && api.Incarnation(r.Header.Get(api.HeaderIncarnation)) != s.incarnation {
		return errOtherIncarnation
	}
	return s.guard.Check(s.clock(), fence, rangeNumber, deadline)
}

// execute simulates the run. It reports whether the run completed.
func (s *Server) execute(ctx context.Context, path string) bool {
	if strings.Contains(path, CrashMarker) {
		s.mu.Lock()
		s.crash()
		s.mu.Unlock()
		return false
	}
	s.mu.Lock()
	mean := float64(s.cfg.ServiceTime)
	took := time.Duration(mean/2 + s.rng.ExpFloat64()*mean/2)
	if s.faults.SlowdownFactor > 0 {
		took = time.Duration(float64(took) * s.faults.SlowdownFactor)
	}
	if s.cold() {
		took *= coldFactor
	}
	s.mu.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	s.waitUnfrozen()
	if s.cfg.Checks != lease.ChecksNone && ctx.Err() != nil {
		return false // unfrozen after the deadline
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.stats.Runs++
	return true
}

// endTime returns when a run ended. A server that checks deadlines ends a run by its
// deadline (design, section 5): if it was frozen past that time, the run had no later effect.
func (s *Server) endTime(ctx context.Context, completed bool) time.Time {
	now := time.Now()
	if deadline, ok := ctx.Deadline(); ok && !completed && s.cfg.Checks != lease.ChecksNone && now.After(deadline) {
		return deadline
	}
	return now
}

// writeResponse echoes the request, so that callers can check that the response is theirs.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, run *Run, body []byte) {
	s.mu.Lock()
	faults, incarnation := s.faults, s.incarnation
	s.mu.Unlock()
	if !run.Completed {
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s %s %s key=%s id=%s body=%s", s.cfg.ID, r.Method, r.URL.Path, run.Key, run.RequestID, body)
	h := w.Header()
	h.Set(api.HeaderIncarnation, string(incarnation))
	h.Set("Content-Type", "text/plain")
	if s.cfg.Respond != nil && s.cfg.Respond(w, r) {
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if faults.WrongNonce {
		h.Set(api.HeaderNonce, "crossed")
	}
	if faults.Truncate {
		text = text[:len(text)/2]
	}
	io.WriteString(w, text)
	if faults.Truncate {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) record(run *Run, ended bool) {
	if s.cfg.Recorder == nil {
		return
	}
	if ended {
		s.cfg.Recorder.Ended(run)
		return
	}
	s.cfg.Recorder.Started(run)
}

func writeShed(w http.ResponseWriter, reason string) {
	w.Header().Set(api.HeaderShed, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func headerInt(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.Header.Get(name), 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
