package gateway

import (
	"net/http"

	"github.com/pkg/errors"
)

// errHeadTooLarge means that the header of a request exceeds the limit of the configuration.
var errHeadTooLarge = errors.New("the header exceeds MaxHeaderBytes of the configuration: send less, or raise the limit if the header is valid")

// headerBytes returns the bytes of the names and values of the header of a request. Separators, line
// ends and the request line do not count, so that no way of counting finds fewer: a caller within the
// limit of the configuration is never refused.
func headerBytes(r *http.Request) int {
	size := 0
	if r.Host != "" {
		size = len("Host") + len(r.Host) // net/http removes it from the header
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
