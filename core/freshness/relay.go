package freshness

import "time"

// maxRelayTime bounds the time for which relayed rows may fill the link of the watcher. Renewals
// and changes of owners wait behind them, and the others take the watcher for lost after 0.7 s.
const maxRelayTime = 250 * time.Millisecond

// MayRelay reports whether a watcher with a link in Mbit/s, 0 if it is not known, passes rows of
// some bytes on to a number of VMs. Otherwise each of them reads the rows from the store.
func MayRelay(bytes, vms int, linkMbps float64) bool {
	return float64(bytes)*float64(vms)*8 <= linkMbps*1e6*maxRelayTime.Seconds()
}
