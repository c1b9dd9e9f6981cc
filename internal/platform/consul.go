package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// Paths of the HTTP API.
const (
	pathKV      = "/v1/kv/"
	pathSession = "/v1/session/"
	pathHealth  = "/v1/health/service/"
)

// Metadata names of a service instance.
const (
	MetaDomain       = "domain"
	MetaSlots        = "slots"
	MetaCPUMilli     = "cpu_milli"
	MetaMemoryMB     = "memory_mb"
	MetaAccelerators = "accelerators"
	MetaState        = "state"
)

// KVPair is a key in the JSON of the KV endpoint.
type KVPair struct {
	Key         string
	Value       []byte // base64 in JSON
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

// SessionRequest is the body of a session's creation.
type SessionRequest struct {
	Name      string
	TTL       string // such as "10s"
	Behavior  string
	LockDelay string
}

// SessionReply is the answer to a session's creation.
type SessionReply struct {
	ID string
}

// ServiceEntry is an instance in the JSON of the health endpoint.
type ServiceEntry struct {
	Service ServiceBody
	Checks  []ServiceCheck
}

// ServiceBody describes the instance.
type ServiceBody struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

// ServiceCheck is one health check of an instance.
type ServiceCheck struct {
	CheckID string
	Status  string
}

func keyPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return pathKV + strings.Join(parts, "/")
}

// Get implements Platform.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	c := call{op: OpGet, name: key, method: http.MethodGet, path: keyPath(key)}
	c.query = url.Values{"consistent": {""}}
	a, err := h.do(ctx, c)
	if err != nil {
		return Entry{}, err
	}
	list, err := h.entries(c, a)
	if err != nil || len(list) == 0 {
		return Entry{Key: key}, err
	}
	return list[0], nil
}

// List implements Platform.
func (h *HTTP) List(ctx context.Context, prefix string, index uint64, wait time.Duration) (Listing, error) {
	c := call{op: OpList, name: prefix, method: http.MethodGet, path: keyPath(prefix)}
	c.query = url.Values{"recurse": {""}}
	c.block(index, wait, h.opts.CallTimeout)
	a, err := h.do(ctx, c)
	if err != nil {
		return Listing{}, err
	}
	list, err := h.entries(c, a)
	return Listing{Entries: list, Index: a.index}, err
}

// block turns a read into a blocking query.
func (c *call) block(index uint64, wait, callTimeout time.Duration) {
	if index == 0 {
		return
	}
	c.query.Set("index", strconv.FormatUint(index, 10))
	c.query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	// The service may add up to a sixteenth of wait, to spread its answers.
	c.timeout = wait + wait/16 + max(watchGrace, callTimeout)
}

func (h *HTTP) entries(c call, a answer) ([]Entry, error) {
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	var pairs []KVPair
	if err := json.Unmarshal(a.body, &pairs); err != nil {
		return nil, h.fail(c, KindUnavailable, err)
	}
	list := make([]Entry, 0, len(pairs))
	for _, p := range pairs {
		list = append(list, Entry{Key: p.Key, Value: p.Value, Index: p.ModifyIndex, Session: SessionID(p.Session)})
	}
	slices.SortFunc(list, func(x, y Entry) int { return strings.Compare(x.Key, y.Key) })
	return list, nil
}

// CAS implements Platform.
func (h *HTTP) CAS(ctx context.Context, key string, value []byte, index uint64) (uint64, error) {
	c := call{op: OpCAS, name: key, method: http.MethodPut, path: keyPath(key), body: value}
	c.query = url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return h.write(ctx, c)
}

// Delete implements Platform.
func (h *HTTP) Delete(ctx context.Context, key string, index uint64) error {
	c := call{op: OpDelete, name: key, method: http.MethodDelete, path: keyPath(key)}
	c.query = url.Values{"cas": {strconv.FormatUint(index, 10)}}
	_, err := h.write(ctx, c)
	return err
}

// Acquire implements Platform.
func (h *HTTP) Acquire(ctx context.Context, key string, value []byte, id SessionID) error {
	c := call{op: OpAcquire, name: key, method: http.MethodPut, path: keyPath(key), body: value}
	c.query = url.Values{"acquire": {string(id)}}
	_, err := h.write(ctx, c)
	return err
}

// write performs a write whose answer is true or false.
func (h *HTTP) write(ctx context.Context, c call) (uint64, error) {
	if len(c.body) > MaxValueBytes {
		return 0, h.fail(c, KindInvalid, nil)
	}
	a, err := h.do(ctx, c)
	if err != nil {
		return 0, err
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return a.index, nil
	case "false":
		return 0, h.fail(c, KindConflict, nil)
	}
	return 0, h.fail(c, KindUnknown, nil)
}

// CreateSession implements Platform.
func (h *HTTP) CreateSession(ctx context.Context, name string, ttl time.Duration) (SessionID, error) {
	body, err := json.Marshal(SessionRequest{Name: name, TTL: ttl.String(), Behavior: "delete", LockDelay: "0s"})
	if err != nil {
		return "", err
	}
	c := call{op: OpCreateSession, name: name, method: http.MethodPut, path: pathSession + "create", body: body}
	a, err := h.do(ctx, c)
	if err != nil {
		return "", err
	}
	var reply SessionReply
	if err := json.Unmarshal(a.body, &reply); err != nil || reply.ID == "" {
		return "", h.fail(c, KindUnknown, err)
	}
	return SessionID(reply.ID), nil
}

// RenewSession implements Platform.
func (h *HTTP) RenewSession(ctx context.Context, id SessionID) error {
	return h.session(ctx, OpRenewSession, "renew/", id)
}

// DestroySession implements Platform.
func (h *HTTP) DestroySession(ctx context.Context, id SessionID) error {
	return h.session(ctx, OpDestroySession, "destroy/", id)
}

func (h *HTTP) session(ctx context.Context, op Op, verb string, id SessionID) error {
	path := pathSession + verb + url.PathEscape(string(id))
	_, err := h.do(ctx, call{op: op, name: string(id), method: http.MethodPut, path: path})
	return err
}

// Services implements Platform.
func (h *HTTP) Services(ctx context.Context, name string, index uint64, wait time.Duration) (ServiceList, error) {
	c := call{op: OpServices, name: name, method: http.MethodGet, path: pathHealth + url.PathEscape(name)}
	c.query = url.Values{}
	c.block(index, wait, h.opts.CallTimeout)
	a, err := h.do(ctx, c)
	if err != nil {
		return ServiceList{}, err
	}
	var entries []ServiceEntry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return ServiceList{}, h.fail(c, KindUnavailable, err)
	}
	list := ServiceList{Index: a.index}
	for _, e := range entries {
		inst, err := e.instance()
		if err != nil {
			return ServiceList{}, h.fail(c, KindInvalid, err)
		}
		list.Instances = append(list.Instances, inst)
	}
	slices.SortFunc(list.Instances, func(x, y ServiceInstance) int { return strings.Compare(x.ID, y.ID) })
	return list, nil
}

// instance reads the typed form. A failing check counts as leaving.
func (e ServiceEntry) instance() (ServiceInstance, error) {
	s := e.Service
	ip, err := netip.ParseAddr(s.Address)
	if err != nil {
		return ServiceInstance{}, err
	}
	inst := ServiceInstance{
		ID:     s.ID,
		Addr:   netip.AddrPortFrom(ip, uint16(s.Port)),
		Domain: model.Domain(s.Meta[MetaDomain]),
		Slots:  int(metaUint(s.Meta, MetaSlots)),
		Has: model.Resources{
			CPUMilli:     metaUint(s.Meta, MetaCPUMilli),
			MemoryMB:     metaUint(s.Meta, MetaMemoryMB),
			Accelerators: metaUint(s.Meta, MetaAccelerators),
		},
		State: StateActive,
	}
	if s.Meta[MetaState] == string(StateLeaving) {
		inst.State = StateLeaving
	}
	for _, c := range e.Checks {
		if c.Status == "critical" {
			inst.State = StateLeaving
		}
	}
	return inst, nil
}

// metaUint reads a number; a missing or malformed one is 0.
func metaUint(meta map[string]string, name string) uint32 {
	n, err := strconv.ParseUint(meta[name], 10, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}

// Entry returns the JSON form of an instance.
func (i ServiceInstance) Entry(service string) ServiceEntry {
	return ServiceEntry{
		Service: ServiceBody{
			ID:      i.ID,
			Service: service,
			Address: i.Addr.Addr().String(),
			Port:    int(i.Addr.Port()),
			Meta: map[string]string{
				MetaDomain:       string(i.Domain),
				MetaSlots:        strconv.Itoa(i.Slots),
				MetaCPUMilli:     strconv.FormatUint(uint64(i.Has.CPUMilli), 10),
				MetaMemoryMB:     strconv.FormatUint(uint64(i.Has.MemoryMB), 10),
				MetaAccelerators: strconv.FormatUint(uint64(i.Has.Accelerators), 10),
				MetaState:        string(i.State),
			},
		},
		Checks: []ServiceCheck{{CheckID: "serfHealth", Status: "passing"}},
	}
}
