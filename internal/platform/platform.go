// Package platform defines the narrow client interface to the platform's
// key-value service: compare-and-swap, sessions, blocking queries and the
// eventually consistent list of service instances.
package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// MaxValueBytes is the size limit of a value.
const MaxValueBytes = 1 << 20

// SessionID identifies a session.
type SessionID string

// Entry is a key and its value.
type Entry struct {
	Key     string
	Value   []byte
	Index   uint64    // index of the last write to the key, 0 if the key is absent
	Session SessionID // session that holds the key, if any
}

// Exists reports whether the key was present.
func (e Entry) Exists() bool { return e.Index != 0 }

// Listing is the result of List.
type Listing struct {
	Entries []Entry // sorted by key
	Index   uint64  // pass it to the next List to wait for a change
}

// ServiceState says whether a service instance may get new work.
type ServiceState string

// States of a service instance.
const (
	StateActive  ServiceState = "active"
	StateLeaving ServiceState = "leaving"
)

// ServiceInstance is one entry of the service list.
type ServiceInstance struct {
	ID       string
	Addr     netip.AddrPort
	Domain   model.Domain
	Slots    int
	Capacity model.Resources
	State    ServiceState
}

// ServiceList is the result of Services.
type ServiceList struct {
	Instances []ServiceInstance // sorted by ID
	Index     uint64            // pass it to the next Services to wait for a change
}

// Platform is the client interface. Every error is an *Error; KindOf returns its
// kind.
type Platform interface {
	// Get reads a key. An absent key is not an error: its entry has index 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix. With an index above 0 it blocks until
	// the prefix has changed past that index or wait has elapsed.
	List(ctx context.Context, prefix string, index uint64, wait time.Duration) (Listing, error)
	// CAS writes a key if its index is still index; 0 means that the key must
	// be absent. It returns the key's new index, or 0 if the service does not
	// report it. A lost race is KindConflict.
	CAS(ctx context.Context, key string, value []byte, index uint64) (uint64, error)
	// Delete removes a key if its index is still index. A lost race is
	// KindConflict.
	Delete(ctx context.Context, key string, index uint64) error
	// CreateSession opens a session that expires unless it is renewed within
	// ttl. Its keys are deleted when it expires.
	CreateSession(ctx context.Context, name string, ttl time.Duration) (SessionID, error)
	// RenewSession restarts the TTL. An expired session is KindNoSession.
	RenewSession(ctx context.Context, id SessionID) error
	// DestroySession ends a session and deletes its keys.
	DestroySession(ctx context.Context, id SessionID) error
	// Acquire writes a key and ties it to a session. A key held by another
	// session is KindConflict, an expired session KindNoSession.
	Acquire(ctx context.Context, key string, value []byte, id SessionID) error
	// Services reads the list of a service's instances, which may be stale. With
	// an index above 0 it blocks like List.
	Services(ctx context.Context, name string, index uint64, wait time.Duration) (ServiceList, error)
}
