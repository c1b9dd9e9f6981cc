package fleet

import "github.com/nutmegweir/nutmegweir/internal/model"

// EntryChange is a write or the removal of a backend server's entry in the store.
type EntryChange struct {
	ID       model.ServerID
	Entry    *ServerEntry // nil if the entry was removed or describes no usable server
	Revision uint64
}

// ServerFeed turns the store's entries of backend servers into events. Most changes
// there are heartbeats, which it leaves out.
//
// Invariant: entries holds only entries of the list as of the last revision. A change that
// is left out is therefore in every list from that revision on.
type ServerFeed struct {
	entries map[model.ServerID]ServerEntry
}

// List returns the event for a complete list as of a revision. Items may be newer, as
// its pages are read one after the other.
func (f *ServerFeed) List(items []EntryChange, revision uint64) ServersListed {
	e := ServersListed{Revision: revision}
	f.entries = make(map[model.ServerID]ServerEntry, len(items))
	for _, it := range items {
		if it.Entry != nil {
			e.Servers = append(e.Servers, *it.Entry)
			if it.Revision <= revision {
				f.entries[it.ID] = *it.Entry
			}
		}
	}
	return e
}

// Update returns the event for the changes after one revision up to another.
func (f *ServerFeed) Update(from, to uint64, items []EntryChange) ServersChanged {
	c := ServerChanges{FromRevision: from, ToRevision: to}
	changed := map[model.ServerID]*ServerEntry{}
	var order []model.ServerID
	for _, it := range items {
		if old, known := f.entries[it.ID]; it.Entry != nil && known && old.Equal(*it.Entry) {
			continue
		}
		if _, again := changed[it.ID]; !again {
			order = append(order, it.ID)
		}
		changed[it.ID] = it.Entry
		if it.Entry == nil {
			delete(f.entries, it.ID)
		} else {
			f.entries[it.ID] = *it.Entry
		}
	}
	for _, id := range order {
		if e := changed[id]; e == nil {
			c.Removed = append(c.Removed, id)
		} else {
			c.Servers = append(c.Servers, *e)
		}
	}
	return ServersChanged{ServerChanges: c}
}
