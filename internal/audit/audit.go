// Package audit keeps the audit trail: who changed what, and what the instance
// decided on its own. Records pass through a watermill topic to a bounded
// in-memory trail; table edits are also stored on the platform with the table.
package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Topic is the watermill topic of the records.
const Topic = "audit"

// DefaultCapacity is the default number of records kept in a trail.
const DefaultCapacity = 10_000

// Action says what was done.
type Action string

// Actions.
const (
	ActionEdit       Action = "edit"       // a row of the table was changed or removed
	ActionRefused    Action = "refused"    // an operator's request was rejected
	ActionInForce    Action = "in-force"   // a table version is in force in a failure domain
	ActionView       Action = "view"       // the view of a shard was changed
	ActionQuarantine Action = "quarantine" // a backend server was quarantined because its tasks fail
	ActionRestore    Action = "restore"    // a backend server was released from quarantine
	ActionRefusals   Action = "refusals"   // submissions were rejected; Count says how many
)

// Record is one entry of the trail. Fields that do not apply are absent.
type Record struct {
	AtUnixMs int64          `json:"at_unix_ms"`
	Action   Action         `json:"action"`
	Actor    string         `json:"actor,omitempty"` // operator's name; absent for the instance itself
	Instance model.Instance `json:"instance,omitempty"`
	Domain   model.Domain   `json:"domain,omitempty"`
	Customer model.Customer `json:"customer,omitempty"`
	Row      string         `json:"row,omitempty"`     // table row, shard or backend server
	Version  uint64         `json:"version,omitempty"` // of the table
	EditID   string         `json:"edit_id,omitempty"`
	Before   *table.Values  `json:"before,omitempty"`
	After    *table.Values  `json:"after,omitempty"`
	Count    int            `json:"count,omitempty"`
	Note     string         `json:"note,omitempty"`
}

// FromEdit returns the records of an edit, one per row.
func FromEdit(e table.Edit) []Record {
	list := make([]Record, 0, len(e.Changes))
	for _, c := range e.Changes {
		list = append(list, Record{
			AtUnixMs: e.AtUnixMs,
			Action:   ActionEdit,
			Actor:    e.Actor,
			Domain:   c.Key.Domain,
			Customer: c.Key.Customer,
			Row:      c.Key.String(),
			Version:  e.Version,
			EditID:   e.ID,
			Before:   c.Before,
			After:    c.After,
			Note:     e.Note,
		})
	}
	return list
}

// Filter selects records. Zero fields match all.
type Filter struct {
	SinceUnixMs int64
	UntilUnixMs int64 // exclusive
	Row         string
	Customer    model.Customer
	Action      Action
	Actor       string
}

// Match reports whether a record is selected.
func (f Filter) Match(r Record) bool {
	return r.AtUnixMs >= f.SinceUnixMs &&
		(f.UntilUnixMs == 0 || r.AtUnixMs < f.UntilUnixMs) &&
		(f.Row == "" || strings.Contains(r.Row, f.Row)) &&
		(f.Customer == "" || r.Customer == f.Customer) &&
		(f.Action == "" || r.Action == f.Action) &&
		(f.Actor == "" || r.Actor == f.Actor)
}

// Trail publishes records and keeps the newest ones. It is safe for
// concurrent use.
type Trail struct {
	instance model.Instance
	pubsub   *gochannel.GoChannel
	done     chan struct{}

	mu          sync.Mutex
	ring        []Record
	oldest      int // index of the oldest record
	overwritten int
}

// NewTrail returns a trail that keeps up to capacity records. Close stops it.
func NewTrail(instance model.Instance, capacity int) (*Trail, error) {
	config := gochannel.Config{BlockPublishUntilSubscriberAck: true} // preserves the order
	t := &Trail{
		instance: instance,
		pubsub:   gochannel.NewGoChannel(config, watermill.NopLogger{}),
		done:     make(chan struct{}),
		ring:     make([]Record, 0, capacity),
	}
	messages, err := t.Subscribe(context.Background())
	if err != nil {
		return nil, err
	}
	go t.collect(messages)
	return t, nil
}

// Subscribe returns the messages of the topic from now on, until ctx is done or
// the trail is closed. Each must be acknowledged promptly: Publish waits for it.
func (t *Trail) Subscribe(ctx context.Context) (<-chan *message.Message, error) {
	m, err := t.pubsub.Subscribe(ctx, Topic)
	return m, errors.Wrap(err, "subscribe to the audit trail")
}

// Decode returns the record of a message.
func Decode(m *message.Message) (Record, error) {
	var r Record
	err := json.Unmarshal(m.Payload, &r)
	return r, errors.Wrap(err, "decode audit record; check the publisher's release")
}

// Publish adds a record. It sets time and instance if they are absent.
func (t *Trail) Publish(r Record) error {
	if r.AtUnixMs == 0 {
		r.AtUnixMs = time.Now().UnixMilli()
	}
	if r.Instance == "" {
		r.Instance = t.instance
	}
	payload, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode audit record")
	}
	return errors.Wrap(t.pubsub.Publish(Topic, message.NewMessage(watermill.NewUUID(), payload)), "publish audit record")
}

// Close stops the trail; its records stay readable.
func (t *Trail) Close() error {
	err := t.pubsub.Close()
	<-t.done
	return errors.Wrap(err, "close the audit trail")
}

func (t *Trail) collect(messages <-chan *message.Message) {
	defer close(t.done)
	for m := range messages {
		if r, err := Decode(m); err == nil {
			t.add(r)
		}
		m.Ack()
	}
}

func (t *Trail) add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, r)
		return
	}
	t.ring[t.oldest] = r
	t.oldest = (t.oldest + 1) % len(t.ring)
	t.overwritten++
}

// Records returns up to limit matching records, newest first.
func (t *Trail) Records(f Filter, limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for i := len(t.ring) - 1; i >= 0 && len(list) < limit; i-- {
		if r := t.ring[(t.oldest+i)%len(t.ring)]; f.Match(r) {
			list = append(list, r)
		}
	}
	return list
}

// Dropped returns the number of records overwritten by newer ones.
func (t *Trail) Dropped() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overwritten
}

// RefusalCounter counts rejected submissions, so that the trail gets totals
// instead of one record each. It is safe for concurrent use.
type RefusalCounter struct {
	mu     sync.Mutex
	counts map[refusalKey]int
}

type refusalKey struct {
	customer model.Customer
	reason   string
}

// maxRefusalCounters bounds the customer and reason pairs between two flushes.
const maxRefusalCounters = 10_000

// otherCustomers collects the counts beyond maxRefusalCounters.
const otherCustomers = "(others)"

// Add counts one rejected submission.
func (s *RefusalCounter) Add(c model.Customer, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[refusalKey]int)
	}
	key := refusalKey{c, reason}
	if _, ok := s.counts[key]; !ok && len(s.counts) >= maxRefusalCounters {
		key.customer = otherCustomers
	}
	s.counts[key]++
}

// Flush returns the counts since the last call as records, sorted by customer
// and reason.
func (s *RefusalCounter) Flush() []Record {
	s.mu.Lock()
	counts := s.counts
	s.counts = nil
	s.mu.Unlock()
	list := make([]Record, 0, len(counts))
	for k, n := range counts {
		list = append(list, Record{Action: ActionRefusals, Customer: k.customer, Note: k.reason, Count: n})
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Note, b.Note))
	})
	return list
}
