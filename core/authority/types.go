// Package authority elects the entry VM that holds a shard, by quorum leases
// with ballots.
//
// A Machine is the state machine of one VM for one shard. The holder has
// authority for a lease that a majority of the shard's members promised,
// counted from the time at which the holder sent its request. Section 4 of
// docs/design.md gives the rules. The machine is deterministic: time and
// messages are parameters, and side effects are returned as actions.
package authority

import (
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Record is the row of a shard in the table service.
type Record struct {
	Shard   api.ShardID
	Version uint64
	Members []api.VMID
	Next    []api.VMID // set while the members change (joint record): both lists must then give a majority
	WriteID string
}

// equal reports whether two records are the result of the same write.
func (r Record) equal(o Record) bool {
	return r.Shard == o.Shard && r.Version == o.Version && r.WriteID == o.WriteID &&
		slices.Equal(r.Members, o.Members) && slices.Equal(r.Next, o.Next)
}

// eligible lists the VMs that may become holder, by rank. During a change of
// members only the new members may, so that the holder that completes the
// change remains a member.
func (r Record) eligible() []api.VMID {
	if len(r.Next) > 0 {
		return r.Next
	}
	return r.Members
}

// Config holds the times of the protocol.
type Config struct {
	Lease, RenewEvery, RankDelay time.Duration
	Drift                        float64 // bound on the relative rate error between two clocks
	// Incarnation identifies this run of the process. It distinguishes replies to
	// an earlier run, and lets a holder restore the highest ballot in a restarted
	// member. Without it a restarted member needs the store.
	Incarnation api.Incarnation
}

// DefaultConfig returns the times of docs/design.md.
func DefaultConfig() Config {
	return Config{
		Lease:      time.Second,
		RenewEvery: 200 * time.Millisecond,
		RankDelay:  50 * time.Millisecond,
		Drift:      0.01,
	}
}

// PromiseTTL returns how long a promise binds a member, and how long a process
// that may have lost a promise in a restart abstains.
func (c Config) PromiseTTL() time.Duration {
	return time.Duration(float64(c.Lease)*(1+c.Drift)) + 1
}

// MessageType names a message between members.
type MessageType string

// The messages between members.
const (
	Renew    MessageType = "renew"
	RenewAck MessageType = "renew_ack"
	Claim    MessageType = "claim"
	ClaimAck MessageType = "claim_ack"
	Release  MessageType = "release"
)

// Message is sent from one member to another.
type Message struct {
	Type   MessageType
	Record Record
	// Ballot is the ballot of a request; in a refusal, the highest ballot known to the member.
	Ballot, Seq uint64
	// Successor is the VM to which a holder releases the shard. A release
	// without it withdraws a failed claim.
	Successor api.VMID
	OK        bool
	// Incarnation is that of the requesting process; replies contain it, too.
	Incarnation api.Incarnation
	// Forgets is set in the reply of a member that may have lost ballots in a restart.
	Forgets bool
	// Member is, in a reply, the incarnation of the member. In a renewal it
	// is the incarnation that reported Forgets to this holder and that takes the
	// highest ballot from this renewal.
	Member api.Incarnation
}

// Action is a side effect that the caller of a Machine must carry out.
type Action interface{ isAction() }

// Send asks for a message to be sent.
type Send struct {
	To      api.VMID
	Message Message
}

// WriteRecord asks for the shard's row to be written if it still has BaseVersion.
type WriteRecord struct {
	Record      Record
	BaseVersion uint64
}

// ReadRecord asks for a transactional read of the shard's row; pass the result to Learn.
type ReadRecord struct{}

// Gained reports that this VM has become holder.
type Gained struct{ Fence api.Fence }

// Lost reports that this VM is no longer holder.
type Lost struct{ Fence api.Fence }

func (Send) isAction()        {}
func (WriteRecord) isAction() {}
func (ReadRecord) isAction()  {}
func (Gained) isAction()      {}
func (Lost) isAction()        {}

// WriteResult is the outcome of a WriteRecord.
type WriteResult int

// The outcomes of a write.
const (
	WriteOK       WriteResult = iota // the row now holds the record
	WriteConflict                    // the row had another version
	WriteUnknown                     // the response was lost
)
