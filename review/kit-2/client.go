package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Step is a step of a job, as in PROTOCOL.md.
type Step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"memMb,omitempty"`
	EstMs        int    `json:"estMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	MaxPerServer int    `json:"maxPerServer,omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Spec       string `json:"spec"`
	Steps      []Step `json:"steps"`
	BestEffort bool   `json:"bestEffort,omitempty"`
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

func (i *Instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := httpClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	status  int // 0: none
	state   string
	pending int
}

func (a answer) String() string {
	return fmt.Sprintf("%d state=%s pending=%d", a.status, a.state, a.pending)
}

// ask sends a request of a client and records it with its answer.
func (d *Deployment) ask(i *Instance, method, id string, body any, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	d.rec.add("ask", i.name, id, 0, method)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+d.prefix+id, bytes.NewReader(data))
	if err != nil {
		return answer{}
	}
	r.Host = d.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	var a answer
	resp, err := httpClient.Do(r)
	if err == nil {
		defer resp.Body.Close()
		text, readErr := io.ReadAll(resp.Body)
		var b struct {
			State   string `json:"state"`
			Pending int    `json:"pending"`
		}
		if readErr == nil {
			_ = json.Unmarshal(text, &b)
			a = answer{resp.StatusCode, b.State, b.Pending}
		}
	}
	note := method + " " + a.String()
	if err != nil {
		note += " " + err.Error()
	}
	d.rec.add("answer", i.name, id, 0, note)
	return a
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9000000+uint64(n)*0x10001) }
