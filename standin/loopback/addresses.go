package loopback

import (
	"cmp"
	"io"
	"net"
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const (
	anyPort = "127.0.0.1:0"
	// defaultLimitPeriod keeps the start of an estate short.
	defaultLimitPeriod = 150 * time.Millisecond
)

// assignAddresses gives every instance free ports and joins them as seeds. The
// ports are reserved together and released just before the instances start.
func (e *Estate) assignAddresses(all []settings.Settings) error {
	var reserved []io.Closer
	defer func() {
		for _, closer := range reserved {
			_ = closer.Close()
		}
	}()
	for i := range all {
		listen := &all[i].Listen
		for _, address := range []*string{&listen.Callers, &listen.Operators, &listen.Peers} {
			listener, err := net.Listen("tcp", anyPort)
			if err != nil {
				return err
			}
			reserved = append(reserved, listener)
			*address = listener.Addr().String()
		}
		conn, err := net.ListenPacket("udp", anyPort)
		if err != nil {
			return err
		}
		reserved = append(reserved, conn)
		listen.Gossip = conn.LocalAddr().String()
	}
	e.joinSeeds(all)
	return nil
}

// joinSeeds points every instance at the platform and at all others.
func (e *Estate) joinSeeds(all []settings.Settings) {
	peers := make([]settings.Peer, 0, len(all))
	listed := make([]objectstore.Instance, 0, len(all))
	for _, s := range all {
		peers = append(peers, settings.Peer{
			Instance:   s.Instance,
			DataCentre: s.DataCentre,
			Region:     s.Region,
			Gossip:     s.Listen.Gossip,
			Peers:      s.Listen.Peers,
			Callers:    s.Listen.Callers,
			Operators:  s.Listen.Operators,
		})
		listed = append(listed, objectstore.Instance{
			Name:       s.Instance,
			Address:    s.Listen.Gossip,
			DataCentre: s.DataCentre,
			State:      objectstore.InstanceLive,
			Role:       "entry",
		})
	}
	for i := range all {
		all[i].Seeds = nil
		for _, peer := range peers {
			if peer.Instance != all[i].Instance {
				all[i].Seeds = append(all[i].Seeds, peer)
			}
		}
		all[i].Intervals.LimitReports = estate.Duration(cmp.Or(e.options.LimitPeriod, defaultLimitPeriod))
		all[i].Platform.ObjectAPI = e.ObjectAPI.URL()
		all[i].Platform.InstanceList = e.InstanceList.URL()
		all[i].Platform.WeightStore = e.WeightStore.URL()
	}
	e.InstanceList.Set(listed)
}
