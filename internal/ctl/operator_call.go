package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/operator"
)

// Limits of calls to the operator port.
const (
	maxResponseBytes = 64 << 20
	writeAttempts    = 3 // per write while its outcome is unknown
	writeRetryDelay  = time.Second
)

// Media types of requests.
const (
	mediaJSON = "application/json"
	mediaCSV  = "text/csv"
)

// operatorCall is one call to the operator port.
type operatorCall struct {
	method    string
	path      string
	query     url.Values
	mediaType string
	body      []byte
}

// unknownOutcomeError reports that a write may have taken effect.
type unknownOutcomeError struct{ cause error }

// Error returns the message with its remedy.
func (e *unknownOutcomeError) Error() string {
	return "the change may have been applied (" + e.cause.Error() + "); repeat the command with the same --id"
}

// get reads and decodes a JSON document.
func (p *OperatorPort) get(ctx context.Context, path string, query url.Values, into any) error {
	body, err := p.call(ctx, operatorCall{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(body, into), "%s; check that the address is an operator port", path)
}

// post sends a write and retries it while its outcome is unknown. The edit ID in
// the request prevents it from being applied twice.
func (p *OperatorPort) post(ctx context.Context, c operatorCall, into any) error {
	c.method = http.MethodPost
	for attempt := 1; ; attempt++ {
		body, err := p.call(ctx, c)
		var unknown *unknownOutcomeError
		if errors.As(err, &unknown) && attempt < writeAttempts && ctx.Err() == nil {
			time.Sleep(writeRetryDelay)
			continue
		}
		if err != nil {
			return err
		}
		return errors.Wrapf(json.Unmarshal(body, into), "%s; check that the address is an operator port", c.path)
	}
}

// postJSON is post with a JSON body.
func (p *OperatorPort) postJSON(ctx context.Context, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the request")
	}
	return p.post(ctx, operatorCall{path: path, mediaType: mediaJSON, body: text}, into)
}

func (p *OperatorPort) call(ctx context.Context, c operatorCall) ([]byte, error) {
	client, base, err := p.connect()
	if err != nil {
		return nil, err
	}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path+"?"+c.query.Encode(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	token, err := p.Token()
	if err != nil {
		return nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if c.mediaType != "" {
		req.Header.Set("Content-Type", c.mediaType)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(c.method, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, transportError(c.method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemError(c.path, resp.StatusCode, body)
	}
	return body, nil
}

// transportError classifies a call without a response.
func transportError(method string, err error) error {
	err = errors.WithMessage(err, "the instance does not answer; check the address, --plain and the process")
	if method == http.MethodGet {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &ExitError{Code: ExitRefused, Err: err}
	}
	return &ExitError{Code: ExitUnknown, Err: &unknownOutcomeError{cause: err}}
}

// problemError converts an error response.
func problemError(path string, status int, body []byte) error {
	var p operator.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Kind == "" {
		return errors.Errorf("%s answered status %d: %s", path, status, strings.TrimSpace(string(body)))
	}
	text := errors.Errorf("%s: %s; %s", p.Kind, p.Detail, p.Remedy)
	switch p.Applied {
	case operator.AppliedUnknown:
		return &ExitError{Code: ExitUnknown, Err: &unknownOutcomeError{cause: errors.New(p.Detail)}}
	case operator.AppliedPartly:
		return &ExitError{Code: ExitPartial, Err: errors.WithMessagef(text, "the rows up to version %d were changed", p.Version)}
	}
	return &ExitError{Code: ExitRefused, Err: text}
}
