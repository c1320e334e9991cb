package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/routing"
	"dandelionhill.dev/platform/fleet"
)

// explainError is the response to a request to explain that is invalid.
type explainError struct {
	Message string `json:"message"`
}

// serveExplain explains a request. Neither the request nor its credentials are logged.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	var described ExplainRequest
	w.Header().Set("Content-Type", "application/json")
	x, err := Explanation{}, json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&described)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		err = errors.Errorf("the description of the request is longer than %d bytes: leave out headers", maxExplainBytes)
	case err != nil:
		err = errors.New("the description of the request is not JSON: use dandelionctl explain-request")
	default:
		x, err = g.explain(&described)
	}
	var body any = x
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		body = explainError{err.Error()}
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		g.log.Debug().Str("event", "status_not_written").Err(err).Msg("")
	}
}

// explain explains a described request. The error names what is wrong with the description.
func (g *Gateway) explain(described *ExplainRequest) (Explanation, error) {
	r, err := described.parse()
	if err != nil {
		return Explanation{}, err
	}
	var workspace *routing.Workspace
	config := g.control.view().config
	if described.Workspace != "" && config != nil {
		if workspace = config.Workspaces[described.Workspace]; workspace == nil {
			return Explanation{}, errors.Errorf("there is no workspace %q: dandelionctl workspaces lists them", described.Workspace)
		}
	}
	q := &request{arrived: time.Now(), params: fleet.ParseRequestHeaders(r.Header), http: r}
	x := g.handler.explain(q, workspace)
	x.VM = g.settings.VM
	if x.Refusal != nil && x.Refusal.Reason == string(noRoute) && config != nil {
		x.Refusal.Remedy = routesRemedy(config)
	}
	return x, nil
}

// parse returns the request as the server of callers would parse it.
func (d *ExplainRequest) parse() (*http.Request, error) {
	var head bytes.Buffer
	if d.Method == "" || strings.ContainsAny(d.Method, " \r\n") {
		return nil, errors.New("the method is malformed: give one such as GET or POST")
	}
	if !strings.HasPrefix(d.Path, "/") || strings.ContainsAny(d.Path, " \r\n") {
		return nil, errors.New("the path is malformed: give one that begins with / and has blanks as %20")
	}
	if d.Host == "" || strings.ContainsAny(d.Host, "/ \r\n") {
		return nil, errors.New("the host is malformed: give a name, with a port if callers send one")
	}
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", d.Method, d.Path, d.Host)
	for name, values := range d.Header {
		if strings.EqualFold(name, "Host") {
			return nil, errors.New("the header Host is given as a header: give the host instead")
		}
		for _, value := range values {
			if name == "" || strings.ContainsFunc(value, isControl) || strings.ContainsFunc(name, isControl) || strings.ContainsAny(name, ": ") {
				// The value may hold a key.
				return nil, errors.Errorf("the header %q is malformed: give it as NAME: VALUE without control characters", name)
			}
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	head.WriteString("\r\n")
	r, err := http.ReadRequest(bufio.NewReader(&head))
	if err != nil {
		return nil, errors.New("the request is malformed: check the method, the path and the names of the headers")
	}
	return r, nil
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// maxRoutesNamed bounds the routes in a remedy.
const maxRoutesNamed = 10

// routesRemedy names the routes that there are.
func routesRemedy(config *routing.Configuration) string {
	var names []string
	for _, r := range config.Routes[:min(len(config.Routes), maxRoutesNamed)] {
		names = append(names, r.Host+r.Prefix)
	}
	return "use the host and the prefix of a route, such as " + strings.Join(names, ", ")
}

// ReadExplanation asks the VM at an address for other VMs what it would do with a request.
func ReadExplanation(ctx context.Context, address string, described *ExplainRequest) (*Explanation, error) {
	body, err := json.Marshal(described)
	if err != nil {
		return nil, errors.Wrap(err, "describe the request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ExplainPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Errorf("%q is no address of a VM: give IP:port", address)
	}
	resp, err := newStoreClient().Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "the VM at %s cannot be reached: give its address for other VMs, or that of another VM", address)
	}
	defer resp.Body.Close()
	limited := io.LimitReader(resp.Body, maxFrameBytes)
	switch resp.StatusCode {
	case http.StatusOK:
		var x Explanation
		if err := json.NewDecoder(limited).Decode(&x); err != nil || x.VM == "" {
			return nil, errors.Errorf("%s did not respond as a VM: give the address for other VMs", address)
		}
		return &x, nil
	case http.StatusBadRequest:
		var refused explainError
		if json.NewDecoder(limited).Decode(&refused) == nil && refused.Message != "" {
			return nil, errors.New(refused.Message)
		}
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		if status, err := ReadStatus(ctx, address); err == nil && status.VM != "" {
			return nil, errors.Errorf("%s runs an earlier version (%s), which explains no requests: upgrade it or ask another VM", status.VM, status.Version)
		}
	}
	return nil, errors.Errorf("%s responded with %s: give the address for other VMs", address, resp.Status)
}
