// Package platform is the narrow port to the platform's key-value service:
// compare-and-swap, sessions, blocking queries and the lagging list of
// service instances.
package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// SessionID names a session.
type SessionID string

// Entry is a key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Index   uint64    // index of the last write to the key, 0 if the key is absent
	Session SessionID // the session that holds the key, if any
}

// Exists reports whether the key was present.
func (e Entry) Exists() bool { return e.Index != 0 }

// Listing is the answer to List.
type Listing struct {
	Entries []Entry // in order of key
	Index   uint64  // pass it to the next List to wait for a change
}

// ServiceState says whether an instance may get new work.
type ServiceState string

// States of a service instance.
const (
	StateActive  ServiceState = "active"
	StateLeaving ServiceState = "leaving"
)

// ServiceInstance is one entry of the lagging list.
type ServiceInstance struct {
	ID       string
	Addr     netip.AddrPort
	Domain   model.Domain
	Slots    int
	Capacity model.Resources
	State    ServiceState
}

// ServiceList is the answer to Services.
type ServiceList struct {
	Instances []ServiceInstance // in order of ID
	Index     uint64            // pass it to the next Services to wait for a change
}

// Platform is the port. Every error is an *Error; KindOf gives its kind.
type Platform interface {
	// Get reads a key. An absent key is no error: its entry has index 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix. With an index above 0 it waits until
	// the prefix has changed past that index or wait has passed.
	List(ctx context.Context, prefix string, index uint64, wait time.Duration) (Listing, error)
	// CAS writes a key if its index is still index; 0 means that the key must
	// be absent. It returns the key's new index, or 0 where the service does
	// not tell it. A lost race is KindConflict.
	CAS(ctx context.Context, key string, value []byte, index uint64) (uint64, error)
	// Delete removes a key if its index is still index. A lost race is
	// KindConflict.
	Delete(ctx context.Context, key string, index uint64) error
	// CreateSession opens a session that lapses when it is not renewed within
	// ttl; the keys that it holds vanish then.
	CreateSession(ctx context.Context, name string, ttl time.Duration) (SessionID, error)
	// RenewSession restarts the TTL. A lapsed session is KindNoSession.
	RenewSession(ctx context.Context, id SessionID) error
	// DestroySession ends a session and removes the keys that it holds.
	DestroySession(ctx context.Context, id SessionID) error
	// Acquire writes a key and ties it to a session. A key that another
	// session holds is KindConflict, a lapsed session KindNoSession.
	Acquire(ctx context.Context, key string, value []byte, id SessionID) error
	// Services reads the lagging list of a service's instances. With an index
	// above 0 it waits like List.
	Services(ctx context.Context, name string, index uint64, wait time.Duration) (ServiceList, error)
}
