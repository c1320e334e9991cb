package listen

import "github.com/pkg/errors"

// ErrAssembly means that a part does not belong to the message that it continues.
var ErrAssembly = errors.New("a part of a message exceeds the stated size")

// Assembly is a message that arrives in parts, each of which is a message of its own. Between them
// other messages arrive on the connection. A stated size alone holds no memory, and parts are kept in
// buffers that are used again, as those of one message are.
type Assembly struct {
	*Message
	size, received int64
	pieces         []*[pieceBytes]byte
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
	if a.received+int64(len(part)) > a.size {
		return ErrAssembly
	}
	for len(part) > 0 {
		offset := a.received % pieceBytes
		if offset == 0 {
			if !a.conn.take(pieceBytes) {
				return a.refuseParts()
			}
			a.raw += pieceBytes
			a.pieces = append(a.pieces, pieces.Get().(*[pieceBytes]byte))
		}
		n := copy(a.pieces[len(a.pieces)-1][offset:], part)
		part = part[n:]
		a.received += int64(n)
	}
	return nil
}

// Complete reports whether all parts have arrived.
func (a *Assembly) Complete() bool { return a.received == a.size }

// Join joins the parts of a complete message. After ErrMessageRefused its memory is released.
func (a *Assembly) Join() ([]byte, error) {
	if !a.conn.take(a.size) {
		return nil, a.refuseParts()
	}
	joined := make([]byte, 0, a.size)
	for _, piece := range a.pieces {
		joined = append(joined, piece[:min(pieceBytes, a.size-int64(len(joined)))]...)
	}
	a.putPieces()
	a.conn.give(a.raw)
	a.Data, a.raw = joined, a.size
	return joined, nil
}

// Whole returns the joined message, of which the first head bytes hold a number of data items that are
// decoded, and the rest is used as it is. It returns ErrMessageRefused, with the memory released, if
// there is no room for what is decoded.
func (a *Assembly) Whole(head, items int64) (*Message, error) {
	a.cost = head + items*itemCost
	if !a.takeDecoded(handlingCost) {
		return nil, a.refuse(nil, MessageMemory)
	}
	a.endAssembly()
	return a.Message, nil
}

// Release releases the memory of the message.
func (a *Assembly) Release() {
	a.putPieces()
	a.Message.Release()
}

func (a *Assembly) refuseParts() error {
	a.putPieces()
	return a.refuse(nil, MessageMemory)
}

func (a *Assembly) putPieces() {
	for _, piece := range a.pieces {
		pieces.Put(piece)
	}
	a.pieces = nil
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
