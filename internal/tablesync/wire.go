package tablesync

import (
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

func announceMessage(version uint64, d model.Domain, watching bool) *peerpb.TableMessage {
	a := &peerpb.TableAnnounce{Version: version, Domain: string(d), Watching: watching}
	return &peerpb.TableMessage{Body: &peerpb.TableMessage_Announce{Announce: a}}
}

func fetchMessage(have uint64) *peerpb.TableMessage {
	return &peerpb.TableMessage{Body: &peerpb.TableMessage_Fetch{Fetch: &peerpb.TableFetch{Have: have}}}
}

func editsMessage(edits []table.Edit) *peerpb.TableMessage {
	m := &peerpb.TableEdits{}
	for _, e := range edits {
		pe := &peerpb.TableEdit{Version: e.Version, Id: e.ID}
		for _, c := range e.Changes {
			pc := &peerpb.TableChange{Key: keyProto(c.Key)}
			if c.After != nil {
				pc.After = valuesProto(*c.After)
			}
			pe.Changes = append(pe.Changes, pc)
		}
		m.Edits = append(m.Edits, pe)
	}
	return &peerpb.TableMessage{Body: &peerpb.TableMessage_Edits{Edits: m}}
}

func editsFromProto(m *peerpb.TableEdits) []table.Edit {
	edits := make([]table.Edit, 0, len(m.GetEdits()))
	for _, pe := range m.GetEdits() {
		e := table.Edit{Version: pe.GetVersion(), ID: pe.GetId()}
		for _, pc := range pe.GetChanges() {
			c := table.Change{Key: keyFromProto(pc.GetKey())}
			if pc.GetAfter() != nil {
				v := valuesFromProto(pc.GetAfter())
				c.After = &v
			}
			e.Changes = append(e.Changes, c)
		}
		edits = append(edits, e)
	}
	return edits
}

// chunkMessages splits a table into messages of at most chunkRows rows.
func chunkMessages(s *table.Snapshot) []*peerpb.TableMessage {
	rows := s.Rows()
	var list []*peerpb.TableMessage
	for n := uint32(0); ; n++ {
		c := &peerpb.TableChunk{Version: s.Version(), Chunk: n}
		take := min(len(rows), chunkRows)
		for _, r := range rows[:take] {
			c.Rows = append(c.Rows, rowProto(r))
		}
		rows = rows[take:]
		c.Last = len(rows) == 0
		list = append(list, &peerpb.TableMessage{Body: &peerpb.TableMessage_Chunk{Chunk: c}})
		if c.Last {
			return list
		}
	}
}

func rowProto(r table.Row) *peerpb.TableRow {
	return &peerpb.TableRow{Key: keyProto(r.Key), Values: valuesProto(r.Values), Version: r.Version, EditId: r.EditID}
}

func rowFromProto(r *peerpb.TableRow) table.Row {
	return table.Row{
		Key:     keyFromProto(r.GetKey()),
		Values:  valuesFromProto(r.GetValues()),
		Version: r.GetVersion(),
		EditID:  r.GetEditId(),
	}
}

func keyProto(k table.Key) *peerpb.TableKey {
	return &peerpb.TableKey{
		Customer: string(k.Customer),
		Domain:   string(k.Domain),
		Kind:     string(k.Kind),
		Server:   string(k.Server),
	}
}

func keyFromProto(k *peerpb.TableKey) table.Key {
	return table.Key{
		Customer: model.Customer(k.GetCustomer()),
		Domain:   model.Domain(k.GetDomain()),
		Kind:     model.Kind(k.GetKind()),
		Server:   model.ServerID(k.GetServer()),
	}
}

func valuesProto(v table.Values) *peerpb.TableValues {
	return &peerpb.TableValues{
		Weight:      v.Weight,
		Concurrency: convertPtr[int64](v.Concurrency),
		Rate:        v.Rate,
		QueueBound:  convertPtr[int64](v.QueueBound),
		DeadlineMs:  v.DeadlineMs,
		State:       string(v.State),
	}
}

func valuesFromProto(v *peerpb.TableValues) table.Values {
	if v == nil {
		return table.Values{}
	}
	return table.Values{
		Weight:      v.Weight,
		Concurrency: convertPtr[int](v.Concurrency),
		Rate:        v.Rate,
		QueueBound:  convertPtr[int](v.QueueBound),
		DeadlineMs:  v.DeadlineMs,
		State:       table.ServiceState(v.GetState()),
	}
}

func convertPtr[T, F int | int64](p *F) *T {
	if p == nil {
		return nil
	}
	t := T(*p)
	return &t
}
