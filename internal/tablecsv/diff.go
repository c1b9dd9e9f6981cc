package tablecsv

import "github.com/nutmegweir/nutmegweir/internal/table"

// MissingRowPolicy says what becomes of rows that the file does not have.
type MissingRowPolicy uint8

// Ways to treat missing rows.
const (
	KeepMissing   MissingRowPolicy = iota // they stay
	RemoveMissing                         // they are removed
)

// Changes returns what an import of rows does to the table. Rows that equal
// the table's are left out, whatever their version, so that importing a file
// twice changes nothing.
func Changes(current *table.Snapshot, rows []table.Row, m MissingRowPolicy) []table.Change {
	var list []table.Change
	named := make(map[table.Key]bool, len(rows))
	for _, r := range rows {
		named[r.Key] = true
		now, ok := current.Row(r.Key)
		if ok && now.Values.Equal(r.Values) {
			continue
		}
		c := table.Change{Key: r.Key, Base: r.Version, After: &r.Values}
		if ok {
			c.Before = &now.Values
		}
		list = append(list, c)
	}
	if m == KeepMissing {
		return list
	}
	for _, now := range current.Rows() {
		if !named[now.Key] {
			list = append(list, table.Change{Key: now.Key, Base: now.Version, Before: &now.Values})
		}
	}
	return list
}
