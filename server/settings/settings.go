// Package settings reads the settings file of the daemon on one entry VM. The
// configuration that all VMs share is in package config.
package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
)

// Settings holds what a daemon needs before it can read the configuration.
type Settings struct {
	// VM names this entry VM.
	VM api.VMID `json:"vm"`
	// FailureDomain names the failure domain of this VM.
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// Listen holds the addresses at which the daemon accepts connections.
	Listen Listen `json:"listen"`
	// Peers lists the entry VMs. This VM may be among them, so that all VMs can
	// use one list.
	Peers []Peer `json:"peers"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// PeerTLS holds the files for connections between VMs. They may be absent
	// only when the peers listen on loopback addresses.
	PeerTLS TLS `json:"peer_tls,omitempty"`
	// AdminTLS holds the files for the admin interface. They may be absent only
	// when it listens on a loopback address.
	AdminTLS TLS `json:"admin_tls,omitempty"`
	// Operators lists who may use the admin interface.
	Operators []Operator `json:"operators"`
	// MemoryMB is the memory of the VM in megabytes. If it is 0, it is that of the machine or of the
	// process's control group.
	MemoryMB int `json:"memory_mb,omitempty"`
	// LogLevel is the minimum level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// StopTimeout bounds a graceful stop, in which running requests finish.
	StopTimeout strict.Duration `json:"stop_timeout,omitempty"`
}

// Listen holds addresses in the form IP:port.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string `json:"callers"`
	// Peers is the address for the other entry VMs.
	Peers string `json:"peers"`
	// Admin is the address for operators, health checks and metrics.
	Admin string `json:"admin"`
}

// Peer holds the ID, failure domain and addresses of an entry VM.
type Peer struct {
	ID            api.VMID          `json:"id"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// Address is IP:port of the peer interface.
	Address string `json:"address"`
	// Admin is IP:port of the admin interface.
	Admin string `json:"admin"`
}

// Platform holds addresses in the form IP:port.
type Platform struct {
	// Table is the address of the transactional table service.
	Table string `json:"table"`
	// Objects is the address of the object store.
	Objects string `json:"objects"`
	// VMs is the address of the list of VMs.
	VMs string `json:"vms"`
}

// TLS names PEM files by absolute path. The daemon reads them again when they
// change.
type TLS struct {
	// Certificate is the certificate chain of this VM.
	Certificate string `json:"certificate"`
	// Key is the private key of the certificate.
	Key string `json:"key"`
	// ClientCA holds the certificates that sign accepted clients. For the admin
	// interface it signs the operators' certificates, for peers those of the VMs.
	ClientCA string `json:"client_ca"`
}

// Enabled reports whether files are named.
func (t TLS) Enabled() bool { return t != TLS{} }

// Operator is a person or program that may use the admin interface.
type Operator struct {
	// Name appears in the records of changes.
	Name string `json:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal. The token
	// itself is not stored on the VM.
	TokenSHA256 string `json:"token_sha256"`
}

// DefaultStopTimeout is the default of Settings.StopTimeout.
const DefaultStopTimeout = 30 * time.Second

// Default returns the defaults of the optional settings.
func Default() Settings {
	return Settings{LogLevel: "info", StopTimeout: strict.Duration(DefaultStopTimeout)}
}

// OtherVMs returns the peers other than this VM.
func (s *Settings) OtherVMs() []Peer {
	var others []Peer
	for _, p := range s.Peers {
		if p.ID != s.VM {
			others = append(others, p)
		}
	}
	return others
}

// Authenticate returns the operator of a bearer token. It compares all
// digests in constant time.
func (s *Settings) Authenticate(token string) (operator string, ok bool) {
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	for _, o := range s.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(o.TokenSHA256)) == 1 {
			operator, ok = o.Name, true
		}
	}
	return operator, ok
}
