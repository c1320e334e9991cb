package gateway

import (
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
)

// unknownVersion stands for a build without the commit, as with -buildvcs=false.
const unknownVersion = "unknown"

// shownRevision is the number of digits of a commit that are shown.
const shownRevision = 12

// buildVersion returns the commit from which this program was built.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= shownRevision {
			return setting.Value[:shownRevision]
		}
	}
	return unknownVersion
}

// exportVersion exports the version of this program.
func (m *Metrics) exportVersion(version string) {
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "build_info", ConstLabels: prometheus.Labels{"version": version},
		Help: "1; the label is the commit from which the program was built.",
	})
	info.Set(1)
	m.registry.MustRegister(info)
}
