// Package shardmap maps keys to ranges by hash, ranges and unkeyed requests to
// shards, and shards to the VMs that hold them.
package shardmap

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"dandelionhill.dev/api"
)

// RangeOf returns the ordinary range of a key. Ranges are equal slices of the
// hash space: range i of n has the hashes from i*2^64/n.
func RangeOf(key string, ranges int) int { return rangeOfHash(xxhash.Sum64String(key), ranges) }

func rangeOfHash(hash uint64, ranges int) int {
	hi, _ := bits.Mul64(hash, uint64(ranges))
	return int(hi)
}

// Fingerprint returns a hash of a request without its request ID. The length of each
// part is hashed before it, so that requests which split the same bytes differently
// get different fingerprints.
func Fingerprint(service api.ServiceName, method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{string(service), method, path} {
		writeLength(&d, len(part))
		_, _ = d.WriteString(part) // never fails
	}
	writeLength(&d, len(body))
	_, _ = d.Write(body) // never fails
	return d.Sum64()
}

func writeLength(d *xxhash.Digest, n int) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = d.Write(length[:]) // never fails
}
