package ctl

import (
	"context"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/settings"
)

// ConfigCmd groups the commands for settings files and configurations.
type ConfigCmd struct {
	Check  *ConfigCheckCmd  `arg:"subcommand:check" help:"check a settings file and list all of its faults"`
	Review *ConfigReviewCmd `arg:"subcommand:review" help:"review a configuration of routes, services and limits before it is sent"`
}

// ConfigCheckCmd validates settings files.
type ConfigCheckCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"settings files, JSON with comments"`
	TLS   bool     `arg:"--tls" help:"also load the certificates and keys that the files name"`
}

// configFault is one validation error in the JSON result.
type configFault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy,omitempty"`
}

// configResult is the JSON result of a check.
type configResult struct {
	OK     bool          `json:"ok"`
	Faults []configFault `json:"faults"`
}

// Run checks the files and fails with ExitUsage if there are faults.
func (c *ConfigCheckCmd) Run(_ context.Context, env *Env) error {
	result := configResult{Faults: []configFault{}}
	for _, file := range c.Files {
		result.Faults = append(result.Faults, c.check(file)...)
	}
	result.OK = len(result.Faults) == 0
	if err := c.report(env, &result); err != nil {
		return err
	}
	if !result.OK {
		return &ExitError{Code: ExitUsage, Err: errors.Errorf("%d faults", len(result.Faults))}
	}
	return nil
}

func (c *ConfigCheckCmd) report(env *Env, result *configResult) error {
	if env.JSON {
		return env.writeJSON(result)
	}
	for _, f := range result.Faults {
		e := settings.FieldError(f)
		env.print("%s", e.Error())
	}
	if result.OK {
		for _, file := range c.Files {
			env.print("%s: ok", file)
		}
	}
	return nil
}

func (c *ConfigCheckCmd) check(file string) []configFault {
	s, err := settings.Load(file)
	if err == nil && c.TLS {
		err = loadTLS(file, s)
	}
	var all settings.Errors
	switch {
	case err == nil:
		return nil
	case errors.As(err, &all):
		return faults(all)
	default:
		return []configFault{{File: file, Message: err.Error(), Remedy: "correct the path"}}
	}
}

func loadTLS(file string, s *settings.Settings) error {
	ports := []struct {
		field string
		port  *settings.Port
	}{
		{"tls.caller", &s.TLS.Caller},
		{"tls.peer", &s.TLS.Peer},
		{"tls.operator", &s.TLS.Operator},
	}
	var all settings.Errors
	for _, p := range ports {
		if _, err := p.port.ServerConfig(); err != nil {
			all = append(all, &settings.FieldError{File: file, Field: p.field, Message: err.Error(), Remedy: "correct the path or the file"})
		}
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

func faults(all settings.Errors) []configFault {
	list := make([]configFault, len(all))
	for i, e := range all {
		list[i] = configFault(*e)
	}
	return list
}
