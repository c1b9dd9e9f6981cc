// Package tablestore keeps the table on the platform's key-value service.
//
// The newest edits stand in one key, the log; an edit takes effect, together
// with its audit record, by one compare-and-swap of the log. When the log
// grows beyond its bound, its edits are merged into the parts, which hold the
// rows, and moved to a page of the bounded history. A reader has the whole
// table when it applies the log to the parts.
package tablestore

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Keys of the table below the prefix.
const (
	keyLog     = "log"
	keyParts   = "part/"
	keyHistory = "history/"
)

// Sizes of the values on the platform.
const (
	numParts     = 16
	maxLogBytes  = 8 << 10   // the log is compacted before it grows beyond
	keepLogShare = 4         // this part of the log stays after a compaction
	MaxEditBytes = 64 << 10  // of one edit
	maxPartBytes = 512 << 10 // of one part
	defaultPages = 1000      // history pages kept
	schema       = 1
)

// Log is the value of the log's key: the edits after version Base.
type Log struct {
	Schema   int          `json:"schema"`
	Version  uint64       `json:"version"`   // of the table
	Base     uint64       `json:"base"`      // the parts hold every edit up to it
	NextPage uint64       `json:"next_page"` // number of the next history page
	Edits    []table.Edit `json:"edits"`     // versions Base+1 to Version
}

// Part is the value of a part's key.
type Part struct {
	Schema int         `json:"schema"`
	Upto   uint64      `json:"upto"` // every edit up to it is in the rows
	Rows   []table.Row `json:"rows"`
}

// Page is the value of a history page's key.
type Page struct {
	Schema int          `json:"schema"`
	Number uint64       `json:"number"`
	Edits  []table.Edit `json:"edits"`
}

func emptyLog() Log { return Log{Schema: schema} }

// find returns the edit with an ID.
func find(edits []table.Edit, id string) (table.Edit, bool) {
	i := slices.IndexFunc(edits, func(e table.Edit) bool { return e.ID == id })
	if i < 0 {
		return table.Edit{}, false
	}
	return edits[i], true
}

// append returns the log with one more edit.
func (l Log) append(e table.Edit) Log {
	l.Edits = append(slices.Clone(l.Edits), e)
	l.Version = e.Version
	return l
}

// trim returns the log without the edits up to base.
func (l Log) trim(base uint64) Log {
	l.Edits = slices.Clone(l.Edits[base-l.Base:])
	l.Base = base
	l.NextPage++
	return l
}

func partOf(k table.Key) int { return int(xxhash.Sum64String(k.String()) % numParts) }

func partKey(n int) string { return fmt.Sprintf("%s%02d", keyParts, n) }

func pageKey(n uint64) string { return fmt.Sprintf("%s%012d", keyHistory, n) }

func encode(v any) ([]byte, error) { return json.Marshal(v) }

// schemaOf is the part of every value that tells its format.
type schemaOf struct {
	Schema int `json:"schema"`
}

func decode(value []byte, into any) error {
	var s schemaOf
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	if s.Schema != schema {
		return errors.Errorf("schema %d is not supported; use a release that knows it", s.Schema)
	}
	return json.Unmarshal(value, into)
}
