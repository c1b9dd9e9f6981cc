package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/capacity"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

// Times of the edits.
const (
	callTimeout = 10 * time.Second
	settleTime  = 5 * time.Second // after the last edit, before the logs are read
)

// inForceOptions are the flags of the subcommand force, which edits the table of
// a running fleet through its plain operator ports and computes from the
// instances' logs how long the edits took until they were in force everywhere.
type inForceOptions struct {
	Operators []string `arg:"--operator,separate,required" placeholder:"IP:PORT" help:"operator port; edits go to them in turn"`
	Logs      []string `arg:"--log,separate,required" placeholder:"FILE" help:"log of each instance at level info"`
	Load      string   `arg:"--load" default:"lone" help:"name of the load in the figure"`
	Edits     int      `arg:"--edits" default:"20" help:"number of edits"`
	EveryMs   int      `arg:"--every-ms" default:"1000" help:"milliseconds from one edit to the next"`
}

// measureInForceDelay edits the table and prints the delays.
func measureInForceDelay(o inForceOptions) error {
	edits, err := makeEdits(o)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	logs, err := readLogs(o.Logs)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(capacity.InForceDelay(o.Load, edits, logs))
}

// makeEdits makes the edits at a fixed interval. One that is answered late delays
// the following ones.
func makeEdits(o inForceOptions) ([]capacity.SentEdit, error) {
	client := &http.Client{Timeout: callTimeout}
	ticker := time.NewTicker(time.Duration(o.EveryMs) * time.Millisecond)
	defer ticker.Stop()
	var edits []capacity.SentEdit
	for i := range o.Edits {
		<-ticker.C
		e, err := makeEdit(client, o.Operators[i%len(o.Operators)], fmt.Sprintf("%s-%d", o.Load, i))
		if err != nil {
			return nil, err
		}
		edits = append(edits, e)
	}
	return edits, nil
}

// makeEdit adds a row for a customer without one.
func makeEdit(client *http.Client, addr, customer string) (capacity.SentEdit, error) {
	weight := 2.0
	body, err := json.Marshal(operator.EditRequest{
		ID: uuid.NewString(),
		Changes: []table.Change{{
			Key:   table.Key{Customer: model.Customer(customer), Domain: "*", Kind: "*"},
			After: &table.Values{Weight: &weight},
		}},
	})
	if err != nil {
		return capacity.SentEdit{}, errors.Wrap(err, "encode the edit")
	}
	at := time.Now()
	resp, err := client.Post("http://"+addr+operator.PathEdits, "application/json", bytes.NewReader(body))
	if err != nil {
		return capacity.SentEdit{}, errors.Wrap(err, "edit the table; give the plain operator port of a running instance")
	}
	defer resp.Body.Close()
	var got operator.EditResult
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return capacity.SentEdit{}, errors.Wrap(err, "read the answer")
	}
	if resp.StatusCode != http.StatusOK {
		return capacity.SentEdit{}, errors.Errorf("the edit was answered with %s; see the audit trail of %s", resp.Status, addr)
	}
	return capacity.SentEdit{At: at, Version: got.Version}, nil
}

func readLogs(names []string) ([][]capacity.AppliedVersion, error) {
	var logs [][]capacity.AppliedVersion
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log")
		}
		log, err := capacity.ReadApplied(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		logs = append(logs, log)
	}
	return logs, nil
}
