package catalog

import "greengagespoke/domain"

// Snapshot is what this host knows of the configuration.
type Snapshot struct {
	// Version is that of the configuration in force, 0 if there is none.
	Version domain.Revision `json:"version"`
	// MayLackNewer says that there may be a newer version.
	MayLackNewer bool `json:"may_lack_newer"`
}

// Snapshot returns what this host knows of the configuration.
func (c *Catalog) Snapshot() Snapshot {
	return Snapshot{Version: c.Version(), MayLackNewer: c.MayLackConfig()}
}
