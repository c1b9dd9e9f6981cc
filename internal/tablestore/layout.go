// Package tablestore keeps the table on the platform's key-value service.
//
// The newest edits stand in one small key, the log; an edit takes effect,
// together with its audit record, by one compare-and-swap of the log. When the
// log grows beyond its bound, its older edits move to a page of the bounded
// history. Now and then one of the parts, which hold the rows, is brought up
// to date, each in turn: so the newest pages, a window of known length, reach
// back to every part. A reader has the whole table when it applies the window
// and the log to the parts.
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
	numParts             = 16
	maxLogBytes          = 1 << 10   // the log is trimmed before it grows beyond
	retainedLogDivisor   = 4         // this part of the log stays when it is trimmed
	MaxEditBytes         = 64 << 10  // of one edit
	maxPartBytes         = 512 << 10 // of one part
	groupPages           = 64        // history pages that one call can read
	maxCatchUpPages      = 32        // a reader further behind reads the parts
	maxRepeatSearchPages = 64        // searched for a repeated edit ID before a conflict is told
	defaultHistoryPages  = 16 << 10  // history pages kept
	defaultPagesPerPart  = 16
	schema               = 1
)

// Log is the value of the log's key: the edits after version Base.
type Log struct {
	Schema   int          `json:"schema"`
	Version  uint64       `json:"version"`   // of the table
	Base     uint64       `json:"base"`      // the pages hold every edit up to it
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

// findEdit returns the edit with an ID.
func findEdit(edits []table.Edit, id string) (table.Edit, bool) {
	i := slices.IndexFunc(edits, func(e table.Edit) bool { return e.ID == id })
	if i < 0 {
		return table.Edit{}, false
	}
	return edits[i], true
}

// withEdit returns the log with one more edit.
func (l Log) withEdit(e table.Edit) Log {
	l.Edits = append(slices.Clone(l.Edits), e)
	l.Version = e.Version
	return l
}

// truncate returns the log without the edits up to base.
func (l Log) truncate(base uint64) Log {
	l.Edits = slices.Clone(l.Edits[base-l.Base:])
	l.Base = base
	l.NextPage++
	return l
}

func partOf(k table.Key) int { return int(xxhash.Sum64String(k.String()) % numParts) }

func partKey(n int) string { return fmt.Sprintf("%s%02d", keyParts, n) }

// groupKey is the common prefix of the pages that one call can read.
func groupKey(group uint64) string { return fmt.Sprintf("%s%010d/", keyHistory, group) }

func pageKey(n uint64) string { return fmt.Sprintf("%s%02d", groupKey(n/groupPages), n%groupPages) }

func encode(v any) ([]byte, error) { return json.Marshal(v) }

// schemaHeader is the part of every value that tells its format.
type schemaHeader struct {
	Schema int `json:"schema"`
}

func decode(value []byte, into any) error {
	var s schemaHeader
	if err := json.Unmarshal(value, &s); err != nil {
		return err
	}
	if s.Schema != schema {
		return errors.Errorf("schema %d is not supported; use a release that knows it", s.Schema)
	}
	return json.Unmarshal(value, into)
}
