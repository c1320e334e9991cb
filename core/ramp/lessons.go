package ramp

// maxLesson limits what is learnt, in windows of a cold upstream for each step.
// A server that sheds for another reason must not slow down all later starts
// without limit.
const maxLesson = 16

// StepHistory holds after how many answers cold upstreams of one service bore a
// limit, from slow starts in which a step had met a shed. The ramps of the
// service share them. StepHistory is not safe for concurrent use.
type StepHistory struct {
	answers map[int]int // by limit
}

// NewStepHistory returns lessons that hold nothing.
func NewStepHistory() *StepHistory { return &StepHistory{answers: map[int]int{}} }

// needed returns the least number of answers before the given limit, 0 if none is known.
func (l *StepHistory) needed(limit int) int {
	if l == nil {
		return 0
	}
	return l.answers[limit]
}

// learn notes that a limit held after that many answers.
func (l *StepHistory) learn(limit, answers int) {
	if l != nil {
		l.answers[limit] = max(l.answers[limit], answers)
	}
}
