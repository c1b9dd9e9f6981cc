package ctl

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/configcheck"
	"github.com/nutmegweir/nutmegweir/platform"
)

// ConfigReviewCmd reviews an operator's configuration before it is sent.
type ConfigReviewCmd struct {
	File    string `arg:"positional,required" help:"configuration as it is to be written to the store, JSON"`
	InForce string `arg:"--in-force" placeholder:"FILE" help:"configuration in force, to compare with"`
	Store   string `arg:"--store" placeholder:"IP:PORT" help:"read the configuration in force from this store; plain HTTP"`
}

// storeReadTimeout bounds the read of the configuration in force.
const storeReadTimeout = 10 * time.Second

// reviewResult is the JSON result of a review.
type reviewResult struct {
	OK       bool                  `json:"ok"` // no errors; there may be warnings
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

// Run reviews the configuration and fails with ExitUsage if it has errors.
func (c *ConfigReviewCmd) Run(ctx context.Context, env *Env) error {
	if c.InForce != "" && c.Store != "" {
		return usageError("--in-force and --store both name the configuration in force; use one")
	}
	next, err := loadConfig(c.File)
	if err != nil {
		return err
	}
	inForce, err := c.loadInForce(ctx)
	if err != nil {
		return err
	}
	result := review(inForce, next)
	if err := result.report(env, c.File); err != nil {
		return err
	}
	if !result.OK {
		return &ExitError{Code: ExitUsage, Err: errors.New("the configuration has errors; instances would not serve all of it")}
	}
	return nil
}

func review(inForce, next *platform.Config) *reviewResult {
	// Empty lists rather than nil ones, which JSON shows as null.
	result := &reviewResult{OK: true, Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	if inForce != nil {
		result.Findings = append(result.Findings, configcheck.CheckSuccessor(inForce, next)...)
		result.Changes = append(result.Changes, configcheck.Diff(inForce, next)...)
	}
	result.Findings = append(result.Findings, configcheck.Check(next)...)
	for _, f := range result.Findings {
		result.OK = result.OK && f.Severity != configcheck.Error
	}
	return result
}

func (r *reviewResult) report(env *Env, file string) error {
	if env.JSON {
		return env.writeJSON(r)
	}
	for _, f := range r.Findings {
		env.print("%s", f)
	}
	for _, c := range r.Changes {
		env.print("change: %s", c)
	}
	if r.OK {
		env.print("%s: ok", file)
	}
	return nil
}

func loadConfig(file string) (*platform.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.Wrap(err, "read the configuration; correct the path")}
	}
	return parseConfig(data, file)
}

// parseConfig decodes a configuration; source names it in errors.
func parseConfig(data []byte, source string) (*platform.Config, error) {
	c, err := platform.ParseConfig(data)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: errors.Wrap(err, source)}
	}
	return c, nil
}

// loadInForce returns the configuration in force, nil if the arguments name none.
func (c *ConfigReviewCmd) loadInForce(ctx context.Context) (*platform.Config, error) {
	switch {
	case c.InForce != "":
		return loadConfig(c.InForce)
	case c.Store == "":
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	item, found, err := platform.NewStore(platform.StoreSettings{Addr: c.Store}, nil).Get(ctx, platform.ConfigKey)
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "read the configuration in force from the store at %s; check the address", c.Store)
	case !found:
		return nil, nil // the first configuration
	}
	return parseConfig(item.Value, "in force in the store at "+c.Store)
}
