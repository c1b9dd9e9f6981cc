package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Event is something that a client, a minion or the operator has seen.
type Event struct {
	At   time.Duration // since the start of the script
	Kind string
	Who  string // minion, instance or client
	Task string // ID.K.STEP.INDEX, or the job's ID
	Run  int
	Note string
}

// Record keeps the events and writes them to a file.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	events []Event
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

func (r *Record) now() time.Duration { return time.Since(r.start) }

func (r *Record) add(kind, who, task string, run int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{time.Since(r.start), kind, who, task, run, note}
	r.events = append(r.events, e)
	fmt.Fprintf(r.file, "%8.3f %-12s %-10s %s", e.At.Seconds(), e.Kind, e.Who, e.Task)
	if e.Run > 0 {
		fmt.Fprintf(r.file, " run %d", e.Run)
	}
	fmt.Fprintf(r.file, " %s\n", e.Note)
}

// say records a remark of the script itself.
func (r *Record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.add("script", "-", "-", 0, text)
}

// all returns the events of a kind so far, of all kinds if it is empty.
func (r *Record) all(kind string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.events {
		if kind == "" || e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}
