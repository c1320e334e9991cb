package dispatch

// SetQueueLength changes the greatest number of queued requests per upstream,
// for example when another preset is put in force. Requests that are queued stay.
func (q *Queue) SetQueueLength(length int) { q.cfg.QueueLength = length }
