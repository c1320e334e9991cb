// Package objects is a fake of the platform's object store, in memory, with injected
// outages.
package objects

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform"
)

// Store implements platform.Objects in memory.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

// New returns an empty store.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Read implements platform.Objects.
func (s *Store) Read(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, platform.ErrUnavailable
	}
	data, ok := s.objects[name]
	if !ok {
		return nil, errors.Errorf("there is no object %q", name)
	}
	return data, nil
}

// Write implements platform.Objects.
func (s *Store) Write(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnavailable
	}
	s.objects[name] = data
	return nil
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/objects/", func(w http.ResponseWriter, r *http.Request) {
		name, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/objects/"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var data []byte
		if r.Method == http.MethodPut {
			if data, err = io.ReadAll(r.Body); err == nil {
				err = s.Write(r.Context(), name, data)
			}
			data = nil
		} else {
			data, err = s.Read(r.Context(), name)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Write(data)
	})
	return mux
}
