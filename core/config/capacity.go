package config

// MaxRanges is the greatest number of ranges of a service.
const MaxRanges = maxRanges
