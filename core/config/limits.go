package config

// MaxRanges is the maximum number of ranges of a service.
const MaxRanges = maxRanges
