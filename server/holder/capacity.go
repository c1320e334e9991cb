package holder

// ReachTimeout is how long a new holder waits for the first response of an
// upstream before it moves the upstream's ranges.
const ReachTimeout = reachTimeout

// PlanEvery is the interval of plans that serve balance only.
const PlanEvery = planEvery
