package election

import "time"

// ReadConfig holds the times of reading the lease without a granter.
type ReadConfig struct {
	// Interval is the longest time between two reads of the lease of a VM, or from the read of a
	// reader on whose word it relies to its own.
	Interval time.Duration
	// ReaderInterval is the interval of readers. It is half of Interval, so that their word is
	// newer than what the others know each time that these ask.
	ReaderInterval time.Duration
	// AskAhead is how long before its own read is due a VM asks a reader: the time that the
	// response may take. Asking earlier than that also shows a takeover earlier.
	AskAhead time.Duration
	// CampaignGrace is how long a VM leaves a lease to the readers that can take it over.
	CampaignGrace time.Duration
}

// DefaultReadConfig returns the times in use.
func DefaultReadConfig() ReadConfig {
	return ReadConfig{
		Interval: 250 * time.Millisecond, ReaderInterval: 125 * time.Millisecond, AskAhead: 100 * time.Millisecond,
		CampaignGrace: 250 * time.Millisecond,
	}
}

const (
	// minReaders is the number of readers in a small system, one more is added for each
	// vmsPerReader VMs, up to maxReaders: the number of reads does not grow with that of the VMs.
	minReaders, maxReaders, vmsPerReader = 4, 10, 50
	// minVMsWithReaders is the number of VMs from which readers save calls, as they read more
	// often than the others would.
	minVMsWithReaders = 12
)

// Readers returns how many VMs should read the lease for the others while there is no granter, 0
// if each VM should read it.
func Readers(vms int) int {
	if vms < minVMsWithReaders {
		return 0
	}
	return min(minReaders+vms/vmsPerReader, maxReaders)
}

// LeaseReads decides when a VM without a granter reads the lease in the store, and for how long it
// relies on the reads of another VM instead. It knows the version of the row and a time before
// which the row had no later one; a reader that has read the same version since moves that time
// forward. So a VM learns of another granter within ReadConfig.Interval of its takeover whether it
// gets the word of readers or not. It is not safe for concurrent use.
type LeaseReads struct {
	cfg    ReadConfig
	reader bool
	// version is that of the row last read, 0 if there is none, and at when that read was sent, or
	// that of a reader which has got the same version.
	version int64
	at      time.Duration
	known   bool
	// campaigning means that the readers on whose word this VM relies can take the lease over,
	// graceUntil until when this VM leaves it to them, 0 if it may not take over yet.
	campaigning bool
	graceUntil  time.Duration
}

// NewLeaseReads returns the state of a VM that has not read the lease.
func NewLeaseReads(cfg ReadConfig) *LeaseReads { return &LeaseReads{cfg: cfg} }

// Read records that a read sent at a time has returned a version. reader means that this VM is one
// of the readers that the row names.
func (r *LeaseReads) Read(version int64, sent time.Duration, reader bool) {
	if version != r.version {
		r.graceUntil = 0
	}
	r.version, r.at, r.reader, r.known, r.campaigning = version, max(r.at, sent), reader, true, false
}

// Word returns the version last read and when it was, for other VMs. ok is false if there is none.
func (r *LeaseReads) Word() (version int64, at time.Duration, ok bool) {
	return r.version, r.at, r.known
}

// Vouched records the word of a reader: a read that was sent at a time, by the clock of this VM or
// before, has returned a version. campaigns means that the reader takes a stale lease over. It
// reports whether this VM can rely on it: the version is the one that this VM knows, as of later.
func (r *LeaseReads) Vouched(version int64, at time.Duration, campaigns bool) bool {
	if !r.known || version != r.version || at <= r.at {
		return false
	}
	r.at, r.campaigning = at, campaigns
	return true
}

// AskAt returns when to ask a reader for its word; ok is false if this VM reads the lease itself.
func (r *LeaseReads) AskAt() (at time.Duration, ok bool) {
	return r.at + r.cfg.Interval - r.cfg.AskAhead, r.known && !r.reader
}

// ReadAt returns when the lease is to be read. campaignAt is from when this VM takes it over:
// readers read it then, so that the takeover is not later with few VMs than with all.
func (r *LeaseReads) ReadAt(campaignAt time.Duration) time.Duration {
	if !r.reader {
		return r.at + r.cfg.Interval
	}
	due := r.at + r.cfg.ReaderInterval
	if campaignAt > r.at && campaignAt < due {
		return campaignAt
	}
	return due
}

// MayCampaign reports whether a VM that would take the lease over does so, or leaves it to the
// readers for now.
func (r *LeaseReads) MayCampaign(now time.Duration) bool {
	if r.reader || !r.campaigning {
		return true
	}
	if r.graceUntil == 0 {
		r.graceUntil = now + r.cfg.CampaignGrace
	}
	return now >= r.graceUntil
}

// WouldCampaign reports whether this VM takes a lease over that is stale.
func (v *Voter) WouldCampaign(now time.Duration) bool {
	return !v.stopping && !v.isolated && now >= v.mayCampaignAt()
}

// mayCampaignAt returns from when this VM takes a stale lease over.
func (v *Voter) mayCampaignAt() time.Duration {
	return max(v.promisedUntil, v.startedAt+v.cfg.PromiseTTL)
}

// CampaignAt returns from when this VM takes a lease over that had an age at a time. The age in the
// row has a precision of a millisecond.
func (v *Voter) CampaignAt(at, age time.Duration) time.Duration {
	return max(at+v.cfg.StaleAfter-age+time.Millisecond, v.mayCampaignAt())
}
