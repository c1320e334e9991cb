package table

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"dandelionhill.dev/platform"
)

// Handler serves the store over HTTP. PUT /faults sets the faults, GET /counts reports the
// number of calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows", func(w http.ResponseWriter, r *http.Request) {
		rows, err := s.Scan(r.Context(), r.URL.Query().Get("prefix"))
		writeResult(w, rows, err)
	})
	mux.HandleFunc("GET /v1/rows/", func(w http.ResponseWriter, r *http.Request) {
		key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/rows/"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		row, err := s.Get(r.Context(), key)
		writeResult(w, row, err)
	})
	mux.HandleFunc("POST /v1/commit", func(w http.ResponseWriter, r *http.Request) {
		var txn platform.Txn
		if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := s.Commit(r.Context(), txn)
		writeResult(w, result, err)
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeResult(w, s.Counts(), nil)
	})
	return mux
}

func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
