package control

// The exported constants let docs/CAPACITY.md and its test use the intervals of
// the control loop, so that the page cannot keep an old value.
const (
	// TickEvery is the interval of the control loop.
	TickEvery = tickEvery
	// HeartbeatEvery is the interval of heartbeats to every other VM.
	HeartbeatEvery = heartbeatEvery
	// StoreEvery is the interval at which each VM reads the configuration and
	// the authority records.
	StoreEvery = storeEvery
	// ListEvery is the interval at which each VM reads the list of VMs.
	ListEvery = listEvery
	// MaintainEvery is the interval at which a holder checks its members.
	MaintainEvery = maintainEvery
	// ConfirmFor is how long a confirmation of the configuration lasts.
	ConfirmFor = confirmFor
	// StatusTimeout bounds the status calls to the other VMs.
	StatusTimeout = statusTimeout
)

// AuthorityMessage is the payload of a frame between the members of a shard.
type AuthorityMessage = authorityMessage

// AssignAck is the payload of a witness's acknowledgement of an assignment.
type AssignAck = assignAck
