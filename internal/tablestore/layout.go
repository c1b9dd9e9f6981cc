// Package tablestore stores the table in the platform's key-value service.
//
// The newest edits are in the log, one small key. An edit takes effect,
// together with its audit record, by one compare-and-swap of the log. When the
// log exceeds its size limit, compaction moves its older edits to a page of the
// bounded history. The rows are split into parts by hash; compactions rewrite
// the parts in turn, so a fixed window of the newest pages covers every edit
// since the oldest part. The full table is the parts with the window and the
// log applied.
package tablestore

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Keys of the table, relative to the prefix.
const (
	keyLog     = "log"
	keyParts   = "part/"
	keyHistory = "history/"
)

// Sizes of the values on the platform.
const (
	numParts             = 16
	maxLogBytes          = 1 << 10   // the log is compacted before it exceeds this
	retainedLogDivisor   = 4         // compaction keeps the newest 1/4 of the limit in the log
	MaxEditBytes         = 64 << 10  // of one edit
	maxPartBytes         = 512 << 10 // of one part
	groupPages           = 64        // history pages that one call can read
	maxCatchUpPages      = 32        // a reader that is further behind reads the parts
	maxRepeatSearchPages = 64        // searched for a repeated edit ID before a conflict is reported
	defaultHistoryPages  = 16 << 10  // history pages retained
	defaultPagesPerPart  = 16
	schema               = 1
)

// Log is the value of the log key: the edits after version Base.
type Log struct {
	Schema   int          `json:"schema"`
	Version  uint64       `json:"version"`   // table version
	Base     uint64       `json:"base"`      // edits up to this version are in the pages
	NextPage uint64       `json:"next_page"` // number of the next history page
	Edits    []table.Edit `json:"edits"`     // versions Base+1 to Version
}

// Part is the value of a part key: the rows of one hash bucket.
type Part struct {
	Schema int         `json:"schema"`
	Upto   uint64      `json:"upto"` // edits up to this version are in the rows
	Rows   []table.Row `json:"rows"`
}

// Page is the value of a history page key.
type Page struct {
	Schema int          `json:"schema"`
	Number uint64       `json:"number"`
	Edits  []table.Edit `json:"edits"`
}

func emptyLog() Log { return Log{Schema: schema} }

// findEdit returns the edit with the given ID.
func findEdit(edits []table.Edit, id string) (table.Edit, bool) {
	i := slices.IndexFunc(edits, func(e table.Edit) bool { return e.ID == id })
	if i < 0 {
		return table.Edit{}, false
	}
	return edits[i], true
}

// append returns the log with e added.
func (l Log) append(e table.Edit) Log {
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

// schemaHeader is the common header of all values.
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
