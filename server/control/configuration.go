package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/platform"
)

// ConfigKey is the key of the configuration's row in the table service.
const ConfigKey = "config/head"

// ErrStoreUnavailable means that the table service is unreachable, so nothing can be changed.
var ErrStoreUnavailable = errors.New("the table service does not respond: send the same operation again later; requests continue meanwhile")

func (c *Control) revision() uint64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.Revision
}

// install puts a document into use unless the current one is at least as new.
// version is that of its row, or 0 if unknown.
func (c *Control) install(doc *config.Document, version uint64) {
	if doc == nil {
		return
	}
	c.docVersion = max(c.docVersion, version)
	if c.doc != nil && doc.Revision <= c.doc.Revision {
		return
	}
	c.doc = doc
	c.cfg.Metrics.ConfigRevision.Set(float64(doc.Revision))
	c.cfg.Log.Info().Str("event", "configuration").Uint64("revision", doc.Revision).Str("preset", doc.ActivePreset).Msg("")
	c.configureShards()
	c.publish(c.cfg.Clock())
	c.heartbeat(c.cfg.Clock())
}

func (c *Control) receiveConfig(from api.VMID, frame wire.Frame) error {
	var msg wire.Config
	if err := frame.Unpack(&msg); err != nil {
		return err
	}
	if len(msg.Document) == 0 {
		return c.sendConfig(from, msg.Revision)
	}
	doc, err := config.Decode(msg.Document)
	if err != nil {
		return err
	}
	c.install(doc, msg.Version)
	return nil
}

// sendConfig sends the document to a VM that has an older one.
func (c *Control) sendConfig(to api.VMID, revision uint64) error {
	if c.revision() <= revision {
		return nil
	}
	data, err := config.Encode(c.doc)
	if err != nil {
		return err
	}
	c.sender.Send(to, wire.TypeConfig, wire.Config{Revision: c.doc.Revision, Document: data, Version: c.docVersion})
	return nil
}

// confirmByMajority confirms the configuration by contact with more than half of
// the VMs of the settings, none of which has a newer one. Only VMs that have read
// the store since their start count: a VM that had an accepted revision has either
// kept it or read it again after it was written. VMs that are gone stay in the
// total, because changes were accepted by more than half of all.
func (c *Control) confirmByMajority(now time.Duration) {
	if c.doc == nil {
		return
	}
	readers := 0
	if c.storeRead {
		readers++
	}
	for _, vm := range c.members.Reachable(now) {
		peer := c.peers[vm]
		if peer.revision > c.doc.Revision {
			return
		}
		if peer.storeRead {
			readers++
		}
	}
	if 2*readers > len(c.cfg.VMs) {
		c.confirmedUntil = max(c.confirmedUntil, now+confirmFor)
	}
}

// readStore reads the configuration and the records of shards in one transaction,
// so that the result is not stale.
func (c *Control) readStore(ctx context.Context) {
	if c.storeReadRunning {
		return
	}
	c.storeReadRunning = true
	keys := make([]string, 0, len(c.shards))
	for id := range c.shards {
		keys = append(keys, recordKey(id))
	}
	version, sentAt := c.docVersion, c.cfg.Clock()
	go func() {
		rows, unchanged, err := c.readRows(ctx, version, keys)
		c.post(func() {
			c.storeReadRunning = false
			if c.storeReachable = err == nil; !c.storeReachable {
				return
			}
			if unchanged {
				c.storeRead = true
				c.confirmedUntil = max(c.confirmedUntil, sentAt+confirmFor)
			}
			c.receiveRows(ctx, sentAt, rows)
		})
	}()
}

// readRows reads the rows of keys in one transaction. It includes the
// configuration unless its row still has the given version.
func (c *Control) readRows(ctx context.Context, version uint64, keys []string) (rows []platform.Row, unchanged bool, err error) {
	if version > 0 {
		result, err := c.cfg.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: ConfigKey, Version: version}},
			Reads:      keys,
		})
		c.cfg.Metrics.RecordStoreCall("read", err)
		if err != nil || result.Committed {
			return result.Rows, err == nil, err
		}
	}
	result, err := c.cfg.Table.Commit(ctx, platform.Txn{Reads: append([]string{ConfigKey}, keys...)})
	c.cfg.Metrics.RecordStoreCall("read", err)
	return result.Rows, false, err
}

func (c *Control) receiveRows(ctx context.Context, sentAt time.Duration, rows []platform.Row) {
	for _, row := range rows {
		if row.Key != ConfigKey {
			c.learnRecord(ctx, row)
			continue
		}
		if row.Version == 0 {
			c.storeRead = true // no change has been accepted yet
			continue
		}
		doc, err := config.Decode(row.Value)
		if err != nil {
			c.cfg.Log.Error().Err(err).Str("event", "configuration_not_decoded").Msg("")
			continue
		}
		c.install(doc, row.Version)
		c.storeRead = true
		c.confirmedUntil = max(c.confirmedUntil, sentAt+confirmFor)
	}
}

// maxChangeAttempts bounds the attempts of one change against concurrent writes.
// Each failed attempt means that another change was accepted.
const maxChangeAttempts = 8

// Change applies a change to the newest document and writes it. It returns the
// document that contains the change. After a lost response it reads the row, where
// the operation ID shows whether the write took effect.
func (c *Control) Change(ctx context.Context, change config.Change, dryRun bool) (*config.Document, error) {
	for range maxChangeAttempts {
		doc, version, err := c.readHead(ctx)
		if err != nil {
			return nil, err
		}
		next, err := config.Apply(doc, change)
		if err != nil {
			return nil, err
		}
		if doc != nil && next.Revision == doc.Revision {
			if dryRun {
				return next, nil
			}
			return next, c.distribute(ctx, next, version)
		}
		if err := c.checkReuse(ctx, doc, change); err != nil {
			return nil, err
		}
		if dryRun {
			return next, nil
		}
		data, err := config.Encode(next)
		if err != nil {
			return nil, err
		}
		result, err := c.cfg.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: ConfigKey, Version: version}},
			Puts:       []platform.Put{{Key: ConfigKey, Value: data}},
		})
		c.cfg.Metrics.RecordStoreCall("write", err)
		if err == nil && result.Committed {
			go c.archive(next)
			return next, c.distribute(ctx, next, version+1)
		}
		// Lost response or concurrent write: read again.
	}
	return nil, errors.New("the configuration changed at every attempt: send the same operation again")
}

// distribute installs a written document and sends it to every VM.
func (c *Control) distribute(ctx context.Context, doc *config.Document, version uint64) error {
	return c.do(ctx, func() {
		c.install(doc, version)
		for _, vm := range c.cfg.VMs {
			if vm.ID != c.cfg.Self.ID {
				if err := c.sendConfig(vm.ID, c.peers[vm.ID].revision); err != nil {
					// The VM requests it after a later heartbeat.
					c.cfg.Log.Error().Err(err).Str("event", "configuration_not_sent").Str("peer", string(vm.ID)).Msg("")
				}
			}
		}
	})
}

func (c *Control) readHead(ctx context.Context) (*config.Document, uint64, error) {
	result, err := c.cfg.Table.Commit(ctx, platform.Txn{Reads: []string{ConfigKey}})
	c.cfg.Metrics.RecordStoreCall("read", err)
	if err != nil || len(result.Rows) != 1 {
		return nil, 0, errors.WithMessage(ErrStoreUnavailable, "read configuration")
	}
	row := result.Rows[0]
	if row.Version == 0 {
		return nil, 0, nil
	}
	doc, err := config.Decode(row.Value)
	return doc, row.Version, err
}

// Progress is the rollout state of a revision.
type Progress struct {
	Accepted bool       // more than half of the VMs have it
	InForce  bool       // every VM that is not gone has it
	Have     []api.VMID // the VMs that have it
	Missing  []api.VMID // VMs that may still use an older one
}

// Progress returns the rollout state of a revision.
func (c *Control) Progress(ctx context.Context, revision uint64) (Progress, error) {
	return query(ctx, c, func() Progress {
		var p Progress
		for _, vm := range c.cfg.VMs {
			switch {
			case c.hasRevision(vm.ID, revision):
				p.Have = append(p.Have, vm.ID)
			case c.members.Gone(vm.ID):
				// A VM that accepts no requests is still missing: heartbeats from before
				// this revision may confirm its older one again.
			default:
				p.Missing = append(p.Missing, vm.ID)
			}
		}
		p.Accepted = 2*len(p.Have) > len(c.cfg.VMs)
		p.InForce = p.Accepted && len(p.Missing) == 0
		return p
	})
}

func (c *Control) hasRevision(vm api.VMID, revision uint64) bool {
	if vm == c.cfg.Self.ID {
		return c.revision() >= revision
	}
	return c.peers[vm].revision >= revision
}
