package delivery

import (
	"cmp"
	"time"
)

const (
	// assumedMbps is the bandwidth of an end that states none: that of the slowest links of
	// deployments.
	assumedMbps = 10
	// minPeerMbps bounds from below what another VM may state as its bandwidth, so that it cannot
	// make this one hold a message for hours.
	minPeerMbps = 1
	// minRateShare is the share of the slower link at which a message must arrive at least. Eight
	// messages or downloads may use a link at the same time.
	minRateShare = 1.0 / 8
)

// Link is the path between two VMs. The zero value is one of unknown bandwidth.
type Link struct {
	// mbps is the bandwidth of the slower end that is known, in Mbit/s; 0 if neither end states one.
	mbps float64
	// lowestMbps is the lowest bandwidth that the link may have, given what is known.
	lowestMbps float64
	// slowPeer means that the other end is slower than this one.
	slowPeer bool
}

// NewLink returns the link between this VM and another one, given what they state in Mbit/s; 0 is
// not known.
func NewLink(own, peer float64) Link {
	l := Link{mbps: own, lowestMbps: min(cmp.Or(own, assumedMbps), assumedMbps)}
	if peer <= 0 {
		return l
	}
	peer = max(peer, minPeerMbps)
	l.lowestMbps = min(cmp.Or(own, assumedMbps), peer)
	if own <= 0 || peer < own {
		l.mbps, l.slowPeer = peer, true
	}
	return l
}

// PeerPacer returns the Pacer for what goes to the other end beside the pacer of this VM's link: one
// without a limit, unless the other end is slower.
func (l Link) PeerPacer() *Pacer {
	if !l.slowPeer {
		return NewPacer(0)
	}
	return NewPacer(l.mbps)
}

// minRate returns the lowest rate of a message in bytes a second.
func (l Link) minRate() float64 {
	return minRateShare * cmp.Or(l.lowestMbps, assumedMbps) * 1e6 / 8
}

// Arrives reports whether a message of a number of bytes can arrive within a time while others are
// sent, of which waiting holds the bytes that are left. All get the same part of what paced messages
// may use, so each of the others delays the message by its own bytes or as many as the message has.
// needed is the time that the message takes, 0 if no end states its bandwidth.
func (l Link) Arrives(bytes int64, waiting []int64, within time.Duration) (needed time.Duration, ok bool) {
	if l.mbps <= 0 {
		return 0, true
	}
	total := bytes
	for _, other := range waiting {
		total += min(other, bytes)
	}
	needed = time.Duration(float64(total) * 8 / (linkShare * l.mbps * 1e6) * float64(time.Second))
	return needed, needed <= within
}

// Transfer bounds the time of one message, by its progress: the other end may not be silent for
// longer than a time, and all pieces together may take that time and what their bytes take at the
// lowest rate. Time for which a piece waits for its turn at this end does not count.
type Transfer struct {
	silence time.Duration
	rate    float64
	moved   int64
	spent   time.Duration
}

// NewTransfer returns the Transfer of a message over a link.
func (l Link) NewTransfer(silence time.Duration) *Transfer {
	return &Transfer{silence: silence, rate: l.minRate()}
}

// Next returns how long the next piece may take.
func (t *Transfer) Next(bytes int) time.Duration {
	return min(t.silence, t.allowed(t.moved+int64(bytes))-t.spent)
}

// Moved records a piece.
func (t *Transfer) Moved(bytes int, took time.Duration) {
	t.moved += int64(bytes)
	t.spent += took
}

// allowed returns how long a number of bytes may take.
func (t *Transfer) allowed(bytes int64) time.Duration {
	return t.silence + time.Duration(float64(bytes)/t.rate*float64(time.Second))
}
