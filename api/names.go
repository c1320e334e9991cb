// Package api defines the identifiers, fences, outcomes and typed refusals that all
// components of dandelionhill share.
package api

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// VMID identifies an entry VM.
type VMID string

// UpstreamID identifies an upstream.
type UpstreamID string

// WorkspaceName is the name of a workspace, a customer whose callers authenticate with keys.
type WorkspaceName string

// ServiceName is the name of a service.
type ServiceName string

// FailureDomain is the name of a failure domain.
type FailureDomain string

// Incarnation identifies one run of a process. It changes with every start.
type Incarnation string

// ShardID identifies one shard of a service.
type ShardID struct {
	Service ServiceName `json:"service"`
	Index   int         `json:"index"`
}

// String returns the shard as "service/index".
func (s ShardID) String() string {
	return string(s.Service) + "/" + strconv.Itoa(s.Index)
}

// MarshalText lets a ShardID serve as a map key.
func (s ShardID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the form that String returns.
func (s *ShardID) UnmarshalText(text []byte) error {
	id, err := ParseShardID(string(text))
	if err != nil {
		return err
	}
	*s = id
	return nil
}

// ParseShardID parses "service/index".
func ParseShardID(text string) (ShardID, error) {
	name, index, found := strings.Cut(text, "/")
	if !found || name == "" {
		return ShardID{}, errors.Errorf("shard %q has no index: write it as service/index", text)
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return ShardID{}, errors.Errorf("shard %q has index %q: write a whole number from 0", text, index)
	}
	return ShardID{Service: ServiceName(name), Index: i}, nil
}

// ballotBits is the number of low bits of a Fence that hold the ballot.
const ballotBits = 24

// Fence orders the holders of one shard. A higher fence supersedes a lower one.
type Fence uint64

// NewFence combines the version of a shard's record with a ballot.
func NewFence(version, ballot uint64) Fence {
	return Fence(version<<ballotBits | ballot&(1<<ballotBits-1))
}

// Version returns the record version in f.
func (f Fence) Version() uint64 { return uint64(f) >> ballotBits }

// Ballot returns the ballot in f.
func (f Fence) Ballot() uint64 { return uint64(f) & (1<<ballotBits - 1) }

// String returns the fence as "version.ballot".
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Version(), f.Ballot()) }
