package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/core/election"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// leasePath is the path at which a VM says what it has last read of the lease.
	leasePath = "/lease/v1"
	// maxLeaseWordBytes bounds the response.
	maxLeaseWordBytes = 16 << 10
	// readerJitter spreads the takeover attempts of the readers of the lease, of which there are
	// few.
	readerJitter = 50 * time.Millisecond
)

// leaseWord is what a VM says of the lease to one without a granter.
type leaseWord struct {
	// Version is that of the lease row, AgeMs how long ago the read was sent that has returned it,
	// in milliseconds; 0 if there was none.
	Version int64 `json:",omitempty"`
	AgeMs   int64 `json:",omitempty"`
	// Campaigns means that the VM takes the lease over when it is stale.
	Campaigns bool `json:",omitempty"`
	// Granter is the lease of the granter that the VM follows, or its own; nil if there is none.
	Granter *lease `json:",omitempty"`
}

// leaseReads is election.LeaseReads of this VM, and the connections to readers.
type leaseReads struct {
	mu     sync.Mutex
	reads  *election.LeaseReads
	client *http.Client
}

func newLeaseReads() *leaseReads {
	return &leaseReads{
		reads: election.NewLeaseReads(election.DefaultReadConfig()),
		client: &http.Client{Transport: &http.Transport{
			DialContext: upstreamconn.Dial, DisableCompression: true, IdleConnTimeout: 5 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}

// withReads calls f with the state.
func withReads[T any](l *leaseReads, f func(r *election.LeaseReads) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.reads)
}

// recordRead records that this VM has read the lease.
func (e *elector) recordRead(row leaseRow) {
	withReads(e.reads, func(r *election.LeaseReads) struct{} {
		r.Read(row.version, row.askedAt, e.readsForOthers(row))
		return struct{}{}
	})
}

// readsForOthers reports whether a lease names this VM as a reader.
func (e *elector) readsForOthers(row leaseRow) bool { return slices.Contains(row.Readers, e.address) }

// mayCampaign reports whether this VM takes a lease over now that a reader has found unchanged.
func (e *elector) mayCampaign() bool {
	return withReads(e.reads, func(r *election.LeaseReads) bool { return r.MayCampaign(bootTime()) })
}

// serveLease responds with the word of this VM on the lease.
func (e *elector) serveLease(w http.ResponseWriter, _ *http.Request) {
	var word leaseWord
	withReads(e.reads, func(r *election.LeaseReads) struct{} {
		if version, at, ok := r.Word(); ok {
			word.Version, word.AgeMs = version, (bootTime()-at).Milliseconds()+1
		}
		return struct{}{}
	})
	word.Campaigns = e.capacities.campaignDelay() == 0 && withVoter(e, (*election.Voter).WouldCampaign)
	word.Granter = e.links.followedGranter()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(word); err != nil {
		e.log.Debug().Str("event", "lease_word_not_sent").Err(err).Msg("")
	}
}

// followedGranter returns the lease of the granter that this VM follows, or its own, nil if there is
// none.
func (l *links) followedGranter() *lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.following && l.granter == nil {
		return nil
	}
	granter := l.lastGranter
	return &granter
}

// askReader asks a reader for its word on the lease; asked is a time before its response.
func (e *elector) askReader(ctx context.Context, address string) (word leaseWord, asked time.Duration, err error) {
	asked = bootTime()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+leasePath, http.NoBody)
	if err != nil {
		return word, 0, errors.Wrap(err, "ask a reader of the lease")
	}
	resp, err := e.reads.client.Do(req)
	if err != nil {
		return word, 0, errors.Wrap(err, "ask a reader of the lease")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return word, 0, errors.Errorf("ask a reader of the lease: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLeaseWordBytes)).Decode(&word)
	return word, asked, errors.Wrap(err, "decode the word of a reader of the lease")
}

// awaitLease waits until the lease is to be read again, see election.LeaseReads. If a reader has
// read the same version meanwhile, it returns the row with the age that it had then, and confirmed:
// there is no need to read it. moved names the granter that a reader follows instead.
func (e *elector) awaitLease(ctx context.Context, known leaseRow) (row leaseRow, confirmed bool, moved error) {
	if len(known.Readers) == 0 || known.version == 0 || known.Released || known.VM == "" || known.VM == e.self {
		wait.For(ctx, granterRetry)
		return known, false, nil
	}
	until := func(at time.Duration) { wait.For(ctx, max(at-bootTime(), 0)) }
	campaignAt := withVoter(e, func(v *election.Voter, _ time.Duration) time.Duration { return v.CampaignAt(known.readAt, known.age) })
	readAt := withReads(e.reads, func(r *election.LeaseReads) time.Duration { return r.ReadAt(campaignAt) })
	askAt, asks := time.Duration(0), false
	withReads(e.reads, func(r *election.LeaseReads) struct{} { askAt, asks = r.AskAt(); return struct{}{} })
	if !asks {
		until(max(readAt, bootTime()+minReadPause))
		return known, false, nil
	}
	until(askAt)
	askCtx, cancel := context.WithTimeout(ctx, max(readAt-bootTime(), minReadPause))
	defer cancel()
	reader := known.Readers[rand.IntN(len(known.Readers))]
	word, asked, err := e.askReader(askCtx, reader)
	if err != nil {
		e.metrics.leaseWords.WithLabelValues("failed").Inc()
		e.log.Debug().Str("event", "reader_not_asked").Str("peer", reader).Err(err).Msg("")
		until(readAt)
		return known, false, nil
	}
	if word.Granter != nil && word.Granter.Term > known.Term && word.Granter.VM != e.self {
		e.metrics.leaseWords.WithLabelValues("moved").Inc()
		return known, false, &granterMovedError{to: *word.Granter}
	}
	at := asked - statedAge(word.AgeMs)
	if word.AgeMs <= 0 || !withReads(e.reads, func(r *election.LeaseReads) bool {
		return r.Vouched(word.Version, at, word.Campaigns)
	}) {
		e.metrics.leaseWords.WithLabelValues("useless").Inc()
		until(readAt)
		return known, false, nil
	}
	e.metrics.leaseWords.WithLabelValues("unchanged").Inc()
	if at > known.readAt {
		known.age, known.readAt = known.age+at-known.readAt, at
	}
	return known, true, nil
}

// minReadPause is the shortest pause between two reads of the lease, and the least time for the
// word of a reader.
const minReadPause = 20 * time.Millisecond
