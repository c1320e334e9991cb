package listen

import "github.com/pkg/errors"

// ErrAssembly means that a part does not belong to the message that it continues.
var ErrAssembly = errors.New("a part of a message exceeds the stated size")

// Assembly is a message that arrives in parts, each of which is a message of its own. Between them
// other messages arrive on the connection.
type Assembly struct {
	*Message
	size int64
}

// Assemble begins a message of a stated size, which counts as a request that is handled. It returns
// ErrMessageRefused if the limits have no room for it. Release must be called in any case but that.
func (c *MessageConn) Assemble(size int64) (*Assembly, error) {
	if size <= 0 || size > c.limit {
		return nil, ErrMessageTooLarge
	}
	a := &Assembly{Message: &Message{conn: c, assembling: true}, size: size}
	c.changeAssembling(1)
	if err := a.count(); err != nil {
		return nil, err
	}
	return a, nil
}

// Append adds a part. It returns ErrMessageRefused, with the memory released, if there is no room.
func (a *Assembly) Append(part []byte) error {
	length := int64(len(a.Data) + len(part))
	if length > a.size {
		return ErrAssembly
	}
	if length > int64(cap(a.Data)) {
		// A stated size alone holds nothing.
		capacity := a.size
		if length <= pieceBytes {
			capacity = min(max(2*int64(cap(a.Data)), length), a.size)
		}
		if !a.conn.take(capacity) {
			return a.refuse(nil, MessageMemory)
		}
		a.Data = append(make([]byte, 0, capacity), a.Data...)
		a.conn.give(a.raw)
		a.raw = capacity
	}
	a.Data = append(a.Data, part...)
	return nil
}

// Complete reports whether all parts have arrived.
func (a *Assembly) Complete() bool { return int64(len(a.Data)) == a.size }

// Whole returns the complete message, of which the first head bytes hold a number of data items that
// are decoded, and the rest is used as it is. It returns ErrMessageRefused, with the memory
// released, if there is no room for what is decoded.
func (a *Assembly) Whole(head, items int64) (*Message, error) {
	a.cost = head + items*itemCost
	if !a.takeDecoded(handlingCost) {
		return nil, a.refuse(nil, MessageMemory)
	}
	a.endAssembly()
	return a.Message, nil
}

// endAssembly marks the message as one whose parts are not awaited.
func (m *Message) endAssembly() {
	if m.assembling {
		m.assembling = false
		m.conn.changeAssembling(-1)
	}
}

// changeAssembling counts the messages of which parts are awaited: the connection must make progress
// then as it must within a message.
func (c *MessageConn) changeAssembling(by int32) {
	c.assembling.Add(by)
	c.setReading(false)
}
