// Package client calls the admin interface of the entry VMs. It tries several
// addresses and resolves changes whose responses are lost.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/platform/httpconn"
	"dandelionhill.dev/server/wait"
)

// ErrUnreachable means that no admin address responded.
var ErrUnreachable = errors.New("no admin address answered")

// ErrInvalidOption means that an option of the client is missing or invalid.
var ErrInvalidOption = errors.New("invalid option")

// defaultAttemptTimeout bounds one attempt at one address, so that a VM that accepts
// connections and never responds does not use up the timeout of the command.
const defaultAttemptTimeout = 5 * time.Second

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// Options holds the addresses and credentials of the admin interface.
type Options struct {
	// Addresses are IP:port, tried in this order.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// CAFile holds the CA certificates of the servers. Without it the client uses
	// plain HTTP, and only to loopback addresses.
	CAFile string
	// CertificateFile and KeyFile hold the operator's own certificate and its key,
	// for servers that ask for one.
	CertificateFile, KeyFile string

	// dialer opens connections; nil stands for a net.Dialer. Tests set it.
	dialer httpconn.DialFunc
}

func (o Options) dial() httpconn.DialFunc {
	if o.dialer != nil {
		return o.dialer
	}
	return new(net.Dialer).DialContext
}

// Client sends requests to the first admin address that responds.
type Client struct {
	http     *http.Client
	baseURLs []string
	token    string
	// AttemptTimeout bounds one attempt at one address.
	AttemptTimeout time.Duration
	// Sleep waits between two queries of an operation. Tests replace it.
	Sleep func(ctx context.Context, d time.Duration) error
}

// New checks the options and returns a client.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.Wrap(ErrInvalidOption, "there is no admin address: give at least one --admin IP:port")
	}
	c := &Client{token: o.Token, AttemptTimeout: defaultAttemptTimeout, Sleep: sleep}
	scheme := "http"
	transport := &http.Transport{DialContext: httpconn.Dialer(o.dial()), MaxResponseHeaderBytes: maxHeadBytes}
	if o.CAFile != "" {
		scheme = "https"
		config, err := tlsConfig(o)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	} else if o.CertificateFile != "" || o.KeyFile != "" {
		return nil, errors.Wrap(ErrInvalidOption, "--cert and --key need --ca")
	}
	for _, address := range o.Addresses {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalidOption, "admin address %q is not IP:port", address)
		}
		if o.CAFile == "" && !a.Addr().IsLoopback() {
			return nil, errors.Wrapf(ErrInvalidOption, "without --ca the token would be sent unencrypted to %s: give --ca", a)
		}
		c.baseURLs = append(c.baseURLs, scheme+"://"+a.String())
	}
	// A redirect would send the token to an address that the operator did not name.
	c.http = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return c, nil
}

func tlsConfig(o Options) (*tls.Config, error) {
	pem, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalidOption, "cannot read --ca: %s", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Wrapf(ErrInvalidOption, "--ca %s holds no certificate", o.CAFile)
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if o.CertificateFile != "" || o.KeyFile != "" {
		pair, err := tls.LoadX509KeyPair(o.CertificateFile, o.KeyFile)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalidOption, "cannot use --cert and --key: %s", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// Status returns the state of the deployment that one VM reports.
func (c *Client) Status(ctx context.Context) (*admin.Status, error) {
	s := &admin.Status{}
	return s, c.get(ctx, admin.PathStatus, nil, s)
}

// Config returns the document in force.
func (c *Client) Config(ctx context.Context) (*config.Document, error) {
	doc := &config.Document{}
	return doc, c.get(ctx, admin.PathConfig, nil, doc)
}

// Explain returns how a request with a key is routed and why.
func (c *Client) Explain(ctx context.Context, service api.ServiceName, key string) (*admin.Explanation, error) {
	e := &admin.Explanation{}
	return e, c.get(ctx, admin.PathExplain, url.Values{admin.QueryService: {string(service)}, admin.QueryKey: {key}}, e)
}

// Operation returns the state of an operation. It queries the addresses in turn
// until a VM knows the operation, because a VM may lag behind the one that wrote it.
func (c *Client) Operation(ctx context.Context, id string) (*admin.OperationStatus, error) {
	var unknown *admin.OperationStatus
	var lastErr error
	for _, base := range c.baseURLs {
		s := &admin.OperationStatus{}
		err := c.call(ctx, c.AttemptTimeout, http.MethodGet, base+admin.PathOperations+url.PathEscape(id), nil, s)
		switch {
		case err == nil && s.State != admin.StateUnknown:
			return s, nil
		case err == nil:
			unknown = s
		case !retryable(err):
			return nil, err
		default:
			lastErr = err
		}
	}
	if unknown != nil {
		return unknown, nil
	}
	return nil, unreachable(lastErr)
}

// Watch returns when the revision exceeds since, or after admin.WatchTimeout with
// a nil document.
func (c *Client) Watch(ctx context.Context, since uint64) (*config.Document, error) {
	w := &admin.Watch{}
	query := url.Values{admin.QuerySince: {strconv.FormatUint(since, 10)}}
	if err := c.getWithTimeout(ctx, admin.WatchTimeout+c.AttemptTimeout, admin.PathWatch, query, w); err != nil {
		return nil, err
	}
	if len(w.Document) == 0 || w.Revision <= since {
		return nil, nil
	}
	doc := &config.Document{}
	if err := json.Unmarshal(w.Document, doc); err != nil {
		return nil, errors.Wrap(err, "the document of a watch cannot be read: use the dandelionctl of the server's version")
	}
	return doc, nil
}

// get queries the addresses in turn until one responds.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	return c.getWithTimeout(ctx, c.AttemptTimeout, path, query, into)
}

func (c *Client) getWithTimeout(ctx context.Context, timeout time.Duration, path string, query url.Values, into any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var lastErr error
	for _, base := range c.baseURLs {
		err := c.call(ctx, timeout, http.MethodGet, base+path, nil, into)
		if err == nil || !retryable(err) {
			return err
		}
		lastErr = err
	}
	return unreachable(lastErr)
}

// callError is a request without a usable response.
type callError struct {
	address string
	// sent is false when the request cannot have reached the server.
	sent bool
	// responded is true when the server sent a response that cannot be used.
	responded bool
	err       error
}

func (e *callError) Error() string { return e.address + ": " + e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// unreachable wraps err in ErrUnreachable unless a server responded.
func unreachable(err error) error {
	var adminErr *admin.Error
	var callErr *callError
	if errors.As(err, &adminErr) || errors.As(err, &callErr) && callErr.responded {
		return err
	}
	return errors.Wrapf(ErrUnreachable, "%v; remedy: give other addresses with --admin, or a longer --timeout", err)
}

// retryable reports whether another address may succeed.
func retryable(err error) bool {
	var adminErr *admin.Error
	return !errors.As(err, &adminErr) || adminErr.Status() >= http.StatusInternalServerError
}

// call sends one request to one address.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, target string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Nothing reaches the server before the transport has a connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "cannot build the request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	address := request.URL.Host
	response, err := c.http.Do(request)
	if err != nil {
		return &callError{address: address, sent: connected.Load(), err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := httpconn.CheckHead(response.StatusCode, response.Header); err != nil {
		return &callError{address: address, sent: true, err: err}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, admin.MaxBodyBytes+1))
	if err != nil {
		return &callError{address: address, sent: true, err: err}
	}
	if len(data) > admin.MaxBodyBytes {
		return &callError{address: address, sent: true, responded: true, err: errors.Errorf("the response exceeds %d bytes", admin.MaxBodyBytes)}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, address, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &callError{address: address, sent: true, responded: true, err: errors.Wrap(err, "the response is not the expected JSON of an entry VM of this version")}
	}
	return nil
}

// responseError returns the server's typed error. A kind that does not belong to
// the status, as from a server of another version, is replaced by one that does,
// so that the exit code is right; a body without an error is quoted.
func responseError(status int, address string, data []byte) error {
	e := &admin.Error{}
	if json.Unmarshal(data, e) != nil || e.Message == "" {
		text := strings.TrimSpace(string(data[:min(len(data), 200)]))
		e = &admin.Error{
			Message: address + " answered status " + strconv.Itoa(status) + ": " + text,
			Remedy:  "check that the address is an admin address of an entry VM",
		}
	}
	if e.Status() == status && e.Kind != "" {
		return e
	}
	if e.Kind != "" {
		e.Message = string(e.Kind) + ": " + e.Message
	}
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		e.Kind = admin.Unauthorized
	case status == http.StatusConflict:
		e.Kind = admin.Conflict
	case status == http.StatusServiceUnavailable:
		e.Kind = admin.StoreUnavailable
	case status >= http.StatusInternalServerError:
		e.Kind = admin.Internal
	case status == http.StatusNotFound:
		e.Kind = admin.NotFound
	default:
		e.Kind = admin.Refused
	}
	return e
}
