package ctl

import (
	"context"
	"net/url"
	"strconv"

	"github.com/nutmegweir/nutmegweir/internal/operator"
)

// BackendCmd lists backend servers, drains them and returns them to service.
type BackendCmd struct {
	List   *BackendListCmd   `arg:"subcommand:list" help:"list backend servers"`
	Drain  *BackendDrainCmd  `arg:"subcommand:drain" help:"give a backend server no new work"`
	Return *BackendReturnCmd `arg:"subcommand:return" help:"bring a backend server back into service"`
}

// BackendListCmd lists backend servers.
type BackendListCmd struct {
	OperatorPort
}

// Run performs the command.
func (c *BackendListCmd) Run(ctx context.Context, env *Env) error {
	var list []operator.Server
	if err := c.get(ctx, operator.PathServers, nil, &list); err != nil {
		return err
	}
	if env.JSON {
		return env.writeJSON(list)
	}
	lines := []string{"SERVER\tDOMAIN\tADDRESS\tSLOTS\tLISTED\tOPERATOR\tQUARANTINED"}
	for _, s := range list {
		lines = append(lines, string(s.ID)+"\t"+string(s.Domain)+"\t"+s.Addr+"\t"+strconv.Itoa(s.Slots)+"\t"+
			s.Listed+"\t"+string(s.Operator)+"\t"+strconv.FormatBool(s.Quarantined))
	}
	return printColumns(env, lines)
}

// ServiceFlags holds the arguments of drain and return.
type ServiceFlags struct {
	OperatorPort
	EditFlags
	Server string `arg:"positional,required" placeholder:"SERVER" help:"ID of the backend server"`
}

// BackendDrainCmd stops new work for a backend server.
type BackendDrainCmd struct {
	ServiceFlags
}

// Run performs the command.
func (c *BackendDrainCmd) Run(ctx context.Context, env *Env) error { return c.set(ctx, env, "drain") }

// BackendReturnCmd returns a backend server to service.
type BackendReturnCmd struct {
	ServiceFlags
}

// Run performs the command.
func (c *BackendReturnCmd) Run(ctx context.Context, env *Env) error { return c.set(ctx, env, "return") }

func (f *ServiceFlags) set(ctx context.Context, env *Env, verb string) error {
	path := operator.PathServers + "/" + url.PathEscape(f.Server) + "/" + verb
	var res operator.EditResult
	if err := f.postJSON(ctx, path, operator.ServiceRequest{ID: f.id(), Note: f.Note}, &res); err != nil {
		return withID(err, f.ID)
	}
	return reportEdit(ctx, env, &f.OperatorPort, &f.EditFlags, &res)
}
