package config

import (
	"errors"
	"strings"
	"testing"

	"dandelionhill.dev/core/config/strict"
)

// FuzzParse checks that no input makes the parser panic, that each error is typed
// and complete, and that a valid document is unchanged by Encode and Decode.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	for _, r := range replacements {
		f.Add([]byte(strings.Replace(sample, r.old, r.with, 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("f.json", data)
		if err != nil {
			var all strict.Errors
			if doc != nil || !errors.As(err, &all) || len(all) == 0 {
				t.Fatalf("refusal without typed problems: %v", err)
			}
			for _, p := range all {
				if p.Message == "" || p.Remedy == "" || p.Line < 1 || p.Line > 1+strings.Count(string(data), "\n") {
					t.Fatalf("incomplete problem: %+v", p)
				}
			}
			return
		}
		first, err := Apply(nil, Change{OperationID: "op", Kind: Init, Document: doc})
		if err != nil {
			t.Fatalf("an accepted document cannot be the first one: %v", err)
		}
		stored, err := Encode(first)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(stored)
		if err != nil {
			t.Fatal(err)
		}
		if diff := Diff(first, again); len(diff) > 0 {
			t.Fatalf("the stored form loses %v", diff)
		}
	})
}
