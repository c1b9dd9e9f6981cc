package ctl

import (
	"context"
	"runtime"
	"runtime/debug"
)

// VersionCmd prints the version.
type VersionCmd struct{}

// versionResult is the JSON result of VersionCmd.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// Run prints the version recorded in the build information.
func (c *VersionCmd) Run(_ context.Context, env *Env) error {
	v := versionResult{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version = info.Main.Version
		v.Revision = revision(info)
	}
	if env.JSON {
		return env.writeJSON(v)
	}
	env.print("%s %s %s %s", Program, v.Version, v.Revision, v.Go)
	return nil
}

func revision(info *debug.BuildInfo) string {
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}
