package tablestore

import (
	"fmt"
	"strconv"
)

// DamagedError reports a stored value that cannot be decoded or is incomplete.
type DamagedError struct {
	Key   string
	Cause error
}

// Error names the key and the remedy.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("table value %s cannot be read (%v); restore the key from a backup of the platform", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// RolledBackError reports that the platform holds an older table than the one
// in force, for example after a restore from a backup.
type RolledBackError struct {
	Known  uint64 // version in force
	Stored uint64 // version stored on the platform
}

// Error names both versions and the remedy.
func (e *RolledBackError) Error() string {
	return "the platform holds table version " + strconv.FormatUint(e.Stored, 10) +
		" but version " + strconv.FormatUint(e.Known, 10) +
		" is in force; restore the platform's newer data before editing"
}

// TooLargeError reports that an edit or a part of the table is too large.
type TooLargeError struct {
	What  string
	Bytes int
	Limit int
}

// Error names the sizes and the remedy.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s takes %d bytes, more than %d; split the edit or remove rows", e.What, e.Bytes, e.Limit)
}
