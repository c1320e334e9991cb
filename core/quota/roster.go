package quota

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Roster is what a granter states in its lease for the next granter: which VMs may hold shares or
// tokens, and how much else may be in use. The granter keeps to each Roster that the store may hold,
// so the next one can rely on the one that it reads when it takes over.
type Roster struct {
	// VMs holds the hashes of the names of the VMs, 4 bytes each. No other VM gets tokens.
	VMs []byte `cbor:"1,keyasint"`
	// MaxShare bounds the share of each VM.
	MaxShare float64 `cbor:"2,keyasint"`
	// Unleased bounds the part of the rates for which the granter issues without it being a VM's
	// share.
	Unleased float64 `cbor:"3,keyasint"`
	// Wide means that all granters of the last window leave budget.changeExtra to the next one. Those of
	// earlier versions, which do not know the field, leave less.
	Wide bool `cbor:"4,keyasint,omitempty"`
}

// hashBytes is the length of the hash of a name.
const hashBytes = 4

func hashOf(vm api.VMID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(vm))
	return h.Sum32()
}

// Equal reports whether two rosters are the same.
func (r *Roster) Equal(other *Roster) bool {
	if r == nil || other == nil {
		return r == other
	}
	return r.MaxShare == other.MaxShare && r.Unleased == other.Unleased && r.Wide == other.Wide && slices.Equal(r.VMs, other.VMs)
}

func (r *Roster) hashes() map[uint32]bool {
	out := make(map[uint32]bool, len(r.VMs)/hashBytes)
	for i := 0; i+hashBytes <= len(r.VMs); i += hashBytes {
		out[binary.BigEndian.Uint32(r.VMs[i:])] = true
	}
	return out
}

// Successor returns the Roster of a granter that takes over from the one that stated r, until it
// has stated its own.
func (r *Roster) Successor() *Roster {
	if r == nil {
		return nil
	}
	return &Roster{VMs: r.VMs, MaxShare: r.MaxShare, Unleased: 1, Wide: r.Wide}
}

// roster is a Roster with the set of its names.
type roster struct {
	*Roster
	named map[uint32]bool
}

func newRoster(r *Roster) *roster {
	if r == nil {
		return nil
	}
	return &roster{Roster: r, named: r.hashes()}
}

// Inherit sets the Roster of the last granter before this one, as its lease states it.
func (i *Issuer) Inherit(r *Roster) { i.inherited = newRoster(r) }

// Stating records that the store may hold a Roster of this granter from now on; nil states none.
func (i *Issuer) Stating(now time.Duration, r *Roster) {
	i.recompute(now)
	i.stated = append(i.stated, newRoster(r))
	i.recompute(now)
}

// Stated records that the store holds the Roster of the last call of Stating.
func (i *Issuer) Stated(now time.Duration) {
	i.recompute(now)
	i.stated = i.stated[max(len(i.stated)-1, 0):]
	i.recompute(now)
}

// Roster returns what this granter should state, nil while VMs may hold shares of an earlier granter
// that has stated nothing.
func (i *Issuer) Roster(now time.Duration) *Roster {
	i.recompute(now)
	if i.inherited == nil && i.unknown(now, 0) > minUnknown {
		return nil
	}
	r, leased := &Roster{}, 0.0
	hashes := make([]uint32, 0, len(i.shares)+1)
	if i.own != 0 {
		hashes = append(hashes, i.own)
	}
	for _, s := range i.shares {
		hashes = append(hashes, s.hash)
		r.MaxShare = max(r.MaxShare, s.most())
		leased += s.most()
	}
	if missing := i.missing(now, 0); len(missing) > 0 {
		hashes = append(hashes, missing...)
		r.MaxShare = max(r.MaxShare, i.inherited.MaxShare)
	}
	slices.Sort(hashes)
	for _, h := range slices.Compact(hashes) {
		r.VMs = binary.BigEndian.AppendUint32(r.VMs, h)
	}
	if len(i.members) > 0 {
		r.MaxShare = max(r.MaxShare, 1/float64(len(i.members)))
	}
	r.Unleased = max(1-leased, 0)
	r.Wide = i.wide() || i.settled && now >= i.settledAt+i.rule.Window
	return r
}

// wide reports whether the granters before this one leave budget.changeExtra.
func (i *Issuer) wide() bool { return i.inherited != nil && i.inherited.Wide }

// extra returns by how much the tokens for all shares may exceed the rate while this granter is not settled.
func (i *Issuer) extra(b budget) float64 {
	if i.wide() {
		return b.changeExtra
	}
	return b.extra
}

// missing returns the VMs named by the last granter that may use shares or tokens of which this one
// does not know, now or after margin.
func (i *Issuer) missing(now, margin time.Duration) (missing []uint32) {
	if i.inherited == nil || i.complete || now >= i.predecessorsUntil+shareTTL {
		return nil
	}
	known := make(map[uint32]bool, len(i.shares))
	for _, s := range i.shares {
		known[s.hash] = i.known(now, margin, s)
	}
	for h := range i.inherited.named {
		if !known[h] {
			missing = append(missing, h)
		}
	}
	return missing
}

// shareRounding bounds the rounding errors of a share: it is computed from those of the other VMs.
const shareRounding = 1e-9

// known reports whether all that a VM may use is its share as this granter knows it. The share that a
// VM without one had before its start may be lent to an earlier granter, unless the VM follows this one.
// A VM that has reported may also go back to an earlier granter and get a share there, until that one
// ends: only a report that was sent later shows that it has none.
func (i *Issuer) known(now, margin time.Duration, s *share) bool {
	return s.reported && (s.confirmed >= i.earlierShare()-shareRounding || s.answered >= i.predecessorsUntil || i.lent(now, margin, s.member))
}

// earlierShare returns the highest share that an earlier granter may have leased to a VM.
func (i *Issuer) earlierShare() float64 {
	if i.inherited != nil {
		return i.inherited.MaxShare
	}
	return 1 / float64(max(i.earlierVMs, 1))
}

// allConnected reports whether each VM to which an earlier granter may issue tokens follows this
// one, the VMs of the earlier granters among them, and has no tokens of an earlier one.
func (i *Issuer) allConnected(now time.Duration) bool {
	return i.inherited != nil && i.allMembers(func(m *Member) bool {
		return i.follows(now, m) && (!m.keeps || now >= m.loanUntil)
	})
}

// allMembers reports whether each VM that the last granter named has reported, is connected and meets a
// condition. Without its roster the VMs are not known.
func (i *Issuer) allMembers(meets func(*Member) bool) bool {
	if i.inherited == nil {
		return true
	}
	connected := make(map[uint32]bool, len(i.members))
	for _, s := range i.shares {
		if s.reported && s.member != nil && meets(s.member) {
			connected[s.hash] = true
		}
	}
	for h := range i.inherited.named {
		if !connected[h] {
			return false
		}
	}
	return true
}

// follows reports whether a VM has acknowledged an update of this granter a moment ago, so that it
// does not go back to an earlier one. A VM that has only reported may have done so since, while its
// connection has ended unnoticed.
func (i *Issuer) follows(now time.Duration, m *Member) bool {
	return m != nil && m.speaks && m.issued && now < m.issuingAt+soloAfter
}

// SetOwn sets the VM on which the granter runs, and its term. The VM is in each Roster, so that a granter all of whose
// VMs follow another one has ended.
func (i *Issuer) SetOwn(vm api.VMID, term int64) { i.own, i.term = hashOf(vm), term }

// Serves reports whether a VM may get tokens and a share by the rosters that the store may hold, and
// has not followed a later granter.
func (i *Issuer) Serves(m *Member) bool {
	return !m.left && !slices.ContainsFunc(i.stated, func(r *roster) bool {
		return r != nil && !(r.named[m.share.hash] && (i.own == 0 || r.named[i.own]))
	})
}

// unleasedLimit and shareLimit return the bounds of the rosters that the store may hold.
func (i *Issuer) unleasedLimit() float64 {
	limit := 1.0
	for _, r := range i.stated {
		if r != nil {
			limit = min(limit, r.Unleased)
		}
	}
	return limit
}

func (i *Issuer) shareLimit() float64 {
	limit := 1.0
	for _, r := range i.stated {
		if r != nil {
			limit = min(limit, r.MaxShare)
		}
	}
	return limit
}
