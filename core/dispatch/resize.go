package dispatch

// SetQueueLength changes the maximum number of queued requests per upstream,
// for example when another preset becomes active. Queued requests stay.
func (q *Queue) SetQueueLength(length int) { q.cfg.QueueLength = length }
