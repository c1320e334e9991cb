package dispatch

import "time"

// deadlines is a binary heap of queued items, ordered by latest start. Items
// store their index, so that removal needs no search.
type deadlines []*item

func (d deadlines) before(i, j int) bool {
	if d[i].latestStart != d[j].latestStart {
		return d[i].latestStart < d[j].latestStart
	}
	return d[i].req.ID < d[j].req.ID
}

func (d deadlines) swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// push adds an item unless it has no deadline.
func (d *deadlines) push(it *item) {
	it.heapIndex = notInHeap
	if it.req.Deadline == 0 {
		return
	}
	it.heapIndex = len(*d)
	*d = append(*d, it)
	d.up(it.heapIndex)
}

// remove removes an item if it is in the heap.
func (d *deadlines) remove(it *item) {
	i := it.heapIndex
	if i == notInHeap {
		return
	}
	last := len(*d) - 1
	d.swap(i, last)
	(*d)[last] = nil
	*d = (*d)[:last]
	it.heapIndex = notInHeap
	if i < last {
		d.down(i)
		d.up(i)
	}
}

// due returns the first item if its latest start is before now.
func (d deadlines) due(now time.Duration) *item {
	if len(d) == 0 || d[0].latestStart >= now {
		return nil
	}
	return d[0]
}

func (d deadlines) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !d.before(i, parent) {
			return
		}
		d.swap(i, parent)
		i = parent
	}
}

func (d deadlines) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(d) {
			return
		}
		if child+1 < len(d) && d.before(child+1, child) {
			child++
		}
		if !d.before(child, i) {
			return
		}
		d.swap(i, child)
		i = child
	}
}
