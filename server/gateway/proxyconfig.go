package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dandelionhill.dev/platform/fleet"
)

// A request that an isolated VM passes on runs by the configuration that both VMs have. Otherwise
// the isolated VM, once it reaches upstreams again, would handle later requests by an older
// configuration than earlier ones, and VMs of which one has an older configuration would refuse each
// other's requests. The VM that lags gets the configuration from the other one first.

const (
	// maxAgreements bounds how often the configuration changes while a request is passed on.
	maxAgreements = 3
	// exchangeTimeout bounds the exchange of a configuration: a row of megabytes takes a second on a
	// link of 10 Mbit/s.
	exchangeTimeout = 3 * time.Second
)

// callAgreed passes a request to one VM, once both have the same configuration.
func (p *proxies) callAgreed(ctx context.Context, q *request, peer string) (resp *proxyResponse, sent bool, err error) {
	for range maxAgreements {
		version := p.handler.view().configVersion()
		resp, sent, err = p.call(ctx, q, peer, version)
		if err != nil || resp.Sends > 0 {
			return resp, sent, err
		}
		agreed := false
		switch {
		case resp.Reason == newerConfiguration && resp.Configuration > version:
			agreed = p.fetchConfiguration(ctx, peer, resp.Configuration)
		case resp.NeedsConfiguration && resp.Configuration < version:
			agreed = p.pushConfiguration(ctx, peer, version)
		}
		if !agreed {
			return resp, sent, err
		}
		if failure := p.handler.checkRoute(q, p.handler.view()); failure.status != 0 {
			return &proxyResponse{Reason: failure.reason, FailureStatus: failure.status, RetryAfterMs: failure.retryAfter.Milliseconds()}, true, nil
		}
	}
	return resp, sent, err
}

// fetchConfiguration gets a newer configuration from a VM. It reports whether it is in force.
func (p *proxies) fetchConfiguration(ctx context.Context, peer string, version int64) bool {
	p.exchanging.Lock()
	defer p.exchanging.Unlock()
	if p.handler.view().configVersion() >= version {
		return true // another request has got it
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp := p.exchange(ctx, peer, &proxyRequest{From: p.self, WantConfiguration: true})
	if resp == nil || resp.ConfigurationRow == nil || !p.handler.adoptConfiguration(ctx, *resp.ConfigurationRow, version) {
		p.metrics.exchanged.WithLabelValues("fetch_failed").Inc()
		return false
	}
	p.metrics.exchanged.WithLabelValues("fetched").Inc()
	p.log.Info().Str("event", "configuration_exchanged").Str("peer", peer).Str("direction", "received").Int64("version", version).Msg("")
	return true
}

// pushConfiguration sends the configuration of this VM to one that has an older one. It reports
// whether that has it in force.
func (p *proxies) pushConfiguration(ctx context.Context, peer string, version int64) bool {
	p.exchanging.Lock()
	defer p.exchanging.Unlock()
	row := p.handler.view().configRow()
	if row == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	// Another request may have sent it in the meantime.
	if resp := p.exchange(ctx, peer, &proxyRequest{From: p.self, Configuration: version, ConfigurationRow: row}); resp == nil || resp.Configuration < version {
		p.metrics.exchanged.WithLabelValues("push_failed").Inc()
		return false
	}
	p.metrics.exchanged.WithLabelValues("pushed").Inc()
	p.log.Info().Str("event", "configuration_exchanged").Str("peer", peer).Str("direction", "sent").Int64("version", version).Msg("")
	return true
}

// exchange sends a message about configurations, and returns the response, nil if there is none.
func (p *proxies) exchange(ctx context.Context, peer string, req *proxyRequest) *proxyResponse {
	bytes := 0
	if req.ConfigurationRow != nil {
		bytes = len(req.ConfigurationRow.Value)
	}
	c, done, err := p.conn(ctx, peer, bytes)
	if err != nil {
		return nil
	}
	defer done()
	resp, _, err := c.call(ctx, req)
	if err != nil {
		return nil
	}
	return resp
}

// exchangeConfiguration answers a VM that wants the configuration of this one, or sends a newer one.
func (p *proxies) exchangeConfiguration(ctx context.Context, req *proxyRequest) *proxyResponse {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if req.ConfigurationRow != nil {
		p.handler.adoptConfiguration(ctx, *req.ConfigurationRow, req.Configuration)
	}
	v := p.handler.view()
	resp := &proxyResponse{Reason: newerConfiguration, FailureStatus: http.StatusServiceUnavailable, Configuration: v.configVersion()}
	if req.WantConfiguration {
		resp.ConfigurationRow = v.configRow()
	}
	return resp
}

// configRow returns the row with the configuration in force, nil if there is none.
func (v *view) configRow() *fleet.Row {
	i := slices.IndexFunc(v.operatorRows, func(row fleet.Row) bool { return row.Key == fleet.KeyConfiguration })
	if i < 0 {
		return nil
	}
	return &v.operatorRows[i]
}

// adoptConfiguration applies a row of another VM and waits until its version, or a newer one, is in
// force. It reports false if that does not happen before ctx ends or the row is not valid.
func (c *control) adoptConfiguration(ctx context.Context, row fleet.Row, version int64) bool {
	cfg, err := fleet.DecodeConfiguration(row.Value)
	if err != nil || row.Key != fleet.KeyConfiguration || cfg.Version < version {
		c.log.Warn().Str("event", "configuration_refused").Int64("row", row.Version).Int64("version", version).Err(err).Msg("")
		return false
	}
	c.do(func(s *state) { c.applyConfiguration(s, row) })
	for {
		v := c.view()
		if v.configVersion() >= version {
			return true
		}
		select {
		case <-v.superseded:
		case <-ctx.Done():
			return false
		}
	}
}
