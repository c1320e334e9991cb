package dispatch

// node links a value into at most one ring. It is stored in the value, so that
// insertion and removal need no allocation and no search.
type node[T any] struct {
	value      T
	prev, next *node[T]
	ring       *ring[T]
}

// ring is an intrusive doubly linked list with a length, for round-robin scheduling.
type ring[T any] struct {
	first, last *node[T]
	n           int
}

func (r *ring[T]) pushBack(n *node[T]) {
	n.ring, n.prev, n.next = r, r.last, nil
	if r.last == nil {
		r.first = n
	} else {
		r.last.next = n
	}
	r.last = n
	r.n++
}

// unlink removes n from its ring if it is on one.
func (n *node[T]) unlink() {
	r := n.ring
	if r == nil {
		return
	}
	if n.prev == nil {
		r.first = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		r.last = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.ring, n.prev, n.next = nil, nil, nil
	r.n--
}

// rotate moves the first node to the end and returns it, or nil.
func (r *ring[T]) rotate() *node[T] {
	n := r.first
	if n != nil && r.n > 1 {
		n.unlink()
		r.pushBack(n)
	}
	return n
}

func (r *ring[T]) pushFront(n *node[T]) {
	n.ring, n.prev, n.next = r, nil, r.first
	if r.first == nil {
		r.last = n
	} else {
		r.first.prev = n
	}
	r.first = n
	r.n++
}
