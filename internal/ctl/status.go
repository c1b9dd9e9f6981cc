package ctl

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxStatusBytes bounds an answer that StatusCmd reads.
const maxStatusBytes = 64 << 10

// StatusCmd says whether an instance is alive and ready.
type StatusCmd struct {
	OperatorPort
}

// statusResult is the JSON result of StatusCmd.
type statusResult struct {
	Alive  bool   `json:"alive"`
	Ready  bool   `json:"ready"`
	Detail string `json:"detail,omitempty"`
}

// Run asks the instance. An instance that is not ready ends it with
// ExitFailed.
func (c *StatusCmd) Run(ctx context.Context, env *Env) error {
	httpClient, base, err := c.connect()
	if err != nil {
		return err
	}
	var result statusResult
	result.Alive, result.Detail, err = probe(ctx, httpClient, base+"/healthz")
	if err != nil {
		return errors.WithMessage(err, "the instance does not answer; check the address and the process")
	}
	result.Ready, result.Detail, err = probe(ctx, httpClient, base+"/readyz")
	if err != nil {
		return errors.WithMessage(err, "the instance does not answer; check the address and the process")
	}
	return result.report(env)
}

// probe reports whether a path answers 200, and the text of the answer.
func probe(ctx context.Context, c *http.Client, url string) (bool, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return false, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	return resp.StatusCode == http.StatusOK, strings.TrimSpace(string(text)), err
}

func (r *statusResult) report(env *Env) error {
	if env.JSON {
		if err := env.writeJSON(r); err != nil {
			return err
		}
	} else {
		env.print("alive: %v\nready: %v", r.Alive, r.Ready)
		if r.Detail != "" {
			env.print("%s", r.Detail)
		}
	}
	if !r.Alive || !r.Ready {
		return &ExitError{Code: ExitFailed, Err: errors.New("the instance is not ready")}
	}
	return nil
}
