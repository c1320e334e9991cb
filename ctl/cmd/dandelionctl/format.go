package main

import (
	"fmt"
	"strings"
)

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func orNone[T ~string](name T) string {
	if name == "" {
		return "none"
	}
	return string(name)
}

func number[T int | uint64](n T) string { return fmt.Sprint(n) }

func join[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ",")
}
