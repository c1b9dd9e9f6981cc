package tablecsv

import "github.com/nutmegweir/nutmegweir/internal/table"

// MissingRowPolicy is what an import does with table rows that are not in the
// file.
type MissingRowPolicy uint8

// Policies for missing rows.
const (
	KeepMissing MissingRowPolicy = iota
	RemoveMissing
)

// Changes returns the changes that an import of rows makes to the table. Rows
// with unchanged values are skipped, whatever their version, so that importing a
// file twice changes nothing.
func Changes(current *table.Snapshot, rows []table.Row, m MissingRowPolicy) []table.Change {
	var list []table.Change
	inFile := make(map[table.Key]bool, len(rows))
	for _, r := range rows {
		inFile[r.Key] = true
		old, ok := current.Row(r.Key)
		if ok && old.Values.Equal(r.Values) {
			continue
		}
		c := table.Change{Key: r.Key, Base: r.Version, After: &r.Values}
		if ok {
			c.Before = &old.Values
		}
		list = append(list, c)
	}
	if m == KeepMissing {
		return list
	}
	for _, old := range current.Rows() {
		if !inFile[old.Key] {
			list = append(list, table.Change{Key: old.Key, Base: old.Version, Before: &old.Values})
		}
	}
	return list
}
