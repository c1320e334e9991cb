package ramp

// maxStepWindows bounds the recorded answers, in windows of a cold upstream per
// step. An upstream that sheds for another reason must not delay all later starts
// indefinitely.
const maxStepWindows = 16

// StepHistory records after how many answers cold upstreams of one service sustained
// a limit, from slow starts in which an earlier step led to a shed. The ramps of the
// service share it. It is not safe for concurrent use.
type StepHistory struct {
	answers map[int]int // by limit
}

// NewStepHistory returns an empty history.
func NewStepHistory() *StepHistory { return &StepHistory{answers: map[int]int{}} }

// needed returns the least number of answers before the given limit, 0 if not known.
func (h *StepHistory) needed(limit int) int {
	if h == nil {
		return 0
	}
	return h.answers[limit]
}

// record records that an upstream sustained a limit after that many answers.
func (h *StepHistory) record(limit, answers int) {
	if h != nil {
		h.answers[limit] = max(h.answers[limit], answers)
	}
}
