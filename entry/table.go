package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/nutmegweir/nutmegweir/internal/audit"
	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/eventlog"
	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/operator"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/platform"
	"github.com/nutmegweir/nutmegweir/internal/sched"
	"github.com/nutmegweir/nutmegweir/internal/settings"
	"github.com/nutmegweir/nutmegweir/internal/table"
	"github.com/nutmegweir/nutmegweir/internal/tablestore"
	"github.com/nutmegweir/nutmegweir/internal/tablesync"
)

// tablePrefix is the prefix of the table's keys on the platform.
const tablePrefix = "nutmegweir/table/"

// assembleTable creates the parts that store and distribute the table of weights
// and limits.
func (i *Instance) assembleTable(p platform.Platform) error {
	trail, err := audit.NewTrail(i.self.Instance, audit.DefaultCapacity)
	if err != nil {
		return err
	}
	i.trail = trail
	i.tableStore = tablestore.New(tablestore.Options{
		Platform: p,
		Prefix:   tablePrefix,
		Rules:    table.Rules{Domains: i.settings.Domains},
	})
	i.tableSync = tablesync.NewRunner(tablesync.RunnerOptions{
		Core: tablesync.Options{
			Self:    i.self.Instance,
			Domain:  i.settings.Domain,
			Domains: i.settings.Domains,
		},
		Store:     i.tableStore,
		Send:      i.sendTable,
		OnChange:  i.onTableChanged,
		OnInForce: i.onTableInForce,
		OnError:   func(err error) { i.observer.PlatformError("table", err) },
	})
	i.observer.onPeers = i.setTablePeers
	i.observer.trail = trail
	return nil
}

func (i *Instance) sendTable(to model.Instance, m *peerpb.TableMessage) {
	i.peers.Send(to, &peerpb.Message{Body: &peerpb.Message_Table{Table: m}})
}

func (i *Instance) onTableChanged(s *table.Snapshot) {
	i.metrics.TableVersion.Set(float64(s.Version()))
	i.log.Event(eventlog.TableApplied).Uint64("version", s.Version()).Send()
	i.runtime.Post(core.Table{Snapshot: s})
}

func (i *Instance) onTableInForce(r tablesync.DomainInForce) {
	i.observer.audit(audit.Record{
		Action:  audit.ActionInForce,
		Domain:  r.Domain,
		Version: r.Version,
	})
}

func (i *Instance) setTablePeers(list []sched.Peer) {
	peers := make([]tablesync.Peer, len(list))
	for n, p := range list {
		peers[n] = tablesync.Peer{ID: p.ID, Domain: p.Domain}
	}
	i.tableSync.SetPeers(peers)
}

// onPeerEvent dispatches events of peers to the table sync or the reducer.
func (i *Instance) onPeerEvent(e core.Event) {
	if m, ok := e.(core.PeerMessage); ok {
		if t := m.Message.GetTable(); t != nil {
			i.tableSync.Receive(m.From.Instance, t)
			return
		}
	}
	i.runtime.Post(e)
}

func (i *Instance) operatorHandler() (http.Handler, error) {
	auth, err := authenticator(i.settings.OperatorTokens, i.operatorListener.Addr())
	if err != nil {
		return nil, err
	}
	return operator.New(operator.Options{
		Store:   i.tableStore,
		Sync:    i.tableSync,
		Trail:   i.trail,
		Auth:    auth,
		Servers: i.observer.serverList,
		Shards:  i.shardList,
	}), nil
}

// authenticator returns the authenticator for the operators in the settings.
// Without tokens anyone who reaches the port is an operator, so it must be on
// loopback.
func authenticator(list []settings.OperatorToken, port net.Addr) (operator.Authenticator, error) {
	at, err := netip.ParseAddrPort(port.String())
	if len(list) == 0 && (err != nil || !at.Addr().IsLoopback()) {
		return nil, errors.New("operator_tokens is empty; add a token for each operator, or listen on a loopback address")
	}
	if len(list) == 0 {
		return operator.AllowAll("local"), nil
	}
	var tokens operator.Tokens
	for _, t := range list {
		role := operator.RoleRead
		if t.Role == settings.RoleWrite {
			role = operator.RoleWrite
		}
		tokens = append(tokens, operator.Token{
			Operator: operator.Operator{Name: t.Name, Role: role},
			SHA256:   t.Digest(),
		})
	}
	return tokens, nil
}

// shardListTimeout bounds the status query of the operator port's shard list.
const shardListTimeout = time.Second

func (i *Instance) shardList() []operator.Shard {
	ctx, cancel := context.WithTimeout(context.Background(), shardListTimeout)
	defer cancel()
	s := i.runtime.Status(ctx)
	if s == nil {
		return nil
	}
	list := make([]operator.Shard, len(s.Shards))
	for n, sh := range s.Shards {
		list[n] = operator.Shard{
			Number: sh.Shard,
			Epoch:  sh.Epoch,
			Owner:  model.Instance(sh.Owner),
			Role:   sh.Role,
		}
	}
	return list
}
