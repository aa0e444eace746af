package settings

import (
	"cmp"
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
)

// The defaults of optional settings.
const (
	DefaultReadsPerSecond     = 20.0
	DefaultWritesPerSecond    = 20.0
	DefaultBodyBytes          = 1 << 20
	DefaultHeaderBytes        = 16 << 10
	DefaultIdleTimeout        = estate.Duration(60 * time.Second)
	DefaultRequestsQueued     = 1024
	DefaultRetainedBytes      = 16 << 20
	DefaultGossipInterval     = estate.Duration(time.Second)
	DefaultLoadReportInterval = estate.Duration(200 * time.Millisecond)
	DefaultKeepAliveInterval  = estate.Duration(5 * time.Second)
)

// WithDefaults returns the settings with every unset optional field filled in.
func (s Settings) WithDefaults() Settings {
	s.Platform.ReadsPerSecond = cmp.Or(s.Platform.ReadsPerSecond, DefaultReadsPerSecond)
	s.Platform.WritesPerSecond = cmp.Or(s.Platform.WritesPerSecond, DefaultWritesPerSecond)
	s.Limits.BodyBytes = cmp.Or(s.Limits.BodyBytes, DefaultBodyBytes)
	s.Limits.HeaderBytes = cmp.Or(s.Limits.HeaderBytes, DefaultHeaderBytes)
	s.Limits.IdleTimeout = cmp.Or(s.Limits.IdleTimeout, DefaultIdleTimeout)
	s.Limits.RequestsQueued = cmp.Or(s.Limits.RequestsQueued, DefaultRequestsQueued)
	s.Limits.RetainedBytes = cmp.Or(s.Limits.RetainedBytes, DefaultRetainedBytes)
	s.Intervals.Gossip = cmp.Or(s.Intervals.Gossip, DefaultGossipInterval)
	s.Intervals.LoadReport = cmp.Or(s.Intervals.LoadReport, DefaultLoadReportInterval)
	s.Intervals.KeepAlive = cmp.Or(s.Intervals.KeepAlive, DefaultKeepAliveInterval)
	if s.Gateway != nil {
		s.Gateway = s.Gateway.withDefaults()
	}
	return s
}
