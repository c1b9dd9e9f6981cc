package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/api"
)

// pathReady returns status 200 while an instance accepts submissions.
const pathReady = "/readyz"

// maxStatusBytes limits a response read by StatusCmd.
const maxStatusBytes = 16 << 20

// StatusCmd shows the state of an instance, its peers and its shards.
type StatusCmd struct {
	OperatorPort
	Shards bool `arg:"--shards" help:"also list the shards of the home domain"`
}

// statusResult is the JSON result of StatusCmd.
type statusResult struct {
	Ready  bool               `json:"ready"`
	Detail string             `json:"detail,omitempty"` // why it is not ready
	Status api.InstanceStatus `json:"status"`
}

// Run queries the instance and fails with ExitFailed if it is not ready.
func (c *StatusCmd) Run(ctx context.Context, env *Env) error {
	httpClient, base, err := c.connect()
	if err != nil {
		return err
	}
	var result statusResult
	code, text, err := c.get(ctx, httpClient, base+pathReady)
	if err != nil {
		return err
	}
	result.Ready = code == http.StatusOK
	result.Detail = strings.TrimSpace(string(text))
	code, text, err = c.get(ctx, httpClient, base+api.PathStatus)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return errors.Errorf("%s answered status %d: %s", api.PathStatus, code, text)
	}
	if err := json.Unmarshal(text, &result.Status); err != nil {
		return errors.Wrapf(err, "%s; check that the address is an operator port", api.PathStatus)
	}
	return c.report(env, &result)
}

// get returns the status code and body of a URL.
func (c *StatusCmd) get(ctx context.Context, h *http.Client, url string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	token, err := c.Token()
	if err != nil {
		return 0, nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := h.Do(req)
	if err != nil {
		return 0, nil, errors.WithMessage(err, "the instance does not answer; check the address, --plain and the process")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	return resp.StatusCode, body, err
}

func (c *StatusCmd) report(env *Env, r *statusResult) error {
	if err := c.print(env, r); err != nil {
		return err
	}
	if !r.Ready {
		return &ExitError{Code: ExitFailed, Err: errors.New("the instance is not ready")}
	}
	return nil
}

func (c *StatusCmd) print(env *Env, r *statusResult) error {
	if env.JSON {
		return env.writeJSON(r)
	}
	s := &r.Status
	env.print("instance: %s in %s (incarnation %s)", s.Instance, s.Domain, s.Incarnation)
	env.print("ready: %v, suspended: %v, stopping: %v", r.Ready, s.Suspended, s.Stopping)
	if r.Detail != "" {
		env.print("detail: %s", r.Detail)
	}
	env.print("jobs: %d remembered, %d open", s.Jobs, s.OpenJobs)
	for _, p := range s.Peers {
		env.print("peer: %s in %s at %s, %s", p.Instance, p.Domain, p.Addr, p.State)
	}
	if c.Shards {
		return printShards(env, s.Shards)
	}
	return nil
}

func printShards(env *Env, shards []api.ShardStatus) error {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	table := &Env{Stdout: w}
	table.print("SHARD\tEPOCH\tOWNER\tREPLICA\tROLE\tJOBS")
	for _, s := range shards {
		table.print("%d\t%d\t%s\t%s\t%s\t%d", s.Shard, s.Epoch, s.Owner, s.Replica, s.Role, s.Jobs)
	}
	return w.Flush()
}
