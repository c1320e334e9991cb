package control

import (
	"context"
	"fmt"

	"dandelionhill.dev/core/config"
)

// ArchiveName is the object that keeps a revision of the configuration.
func ArchiveName(revision uint64) string { return fmt.Sprintf("configuration/%012d", revision) }

// archive keeps a written revision in the object store, for questions about
// revisions that the document no longer remembers. Nothing depends on it: a
// failure is logged and counted only.
func (c *Control) archive(doc *config.Document) {
	if c.cfg.Objects == nil {
		return
	}
	data, err := config.Encode(doc)
	if err == nil {
		err = c.cfg.Objects.Write(context.Background(), ArchiveName(doc.Revision), data)
	}
	c.cfg.Metrics.RecordStoreCall("archive", err)
	if err != nil {
		c.cfg.Log.Warn().Err(err).Str("event", "revision_not_archived").Uint64("revision", doc.Revision).Msg("")
	}
}
