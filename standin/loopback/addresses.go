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
	anyLoopbackPort = "127.0.0.1:0"
	// defaultLimitPeriod is short because an instance is ready only after several
	// periods.
	defaultLimitPeriod = 150 * time.Millisecond
)

// assignAddresses gives every instance free ports and lists the others as its
// seeds. It reserves all ports together, so that none is given out twice, and
// releases them just before the instances start.
func (e *Estate) assignAddresses(instances []settings.Settings) error {
	var reserved []io.Closer
	defer func() {
		for _, closer := range reserved {
			_ = closer.Close()
		}
	}()
	for i := range instances {
		listen := &instances[i].Listen
		for _, address := range []*string{&listen.Callers, &listen.Operators, &listen.Peers} {
			listener, err := net.Listen("tcp", anyLoopbackPort)
			if err != nil {
				return err
			}
			reserved = append(reserved, listener)
			*address = listener.Addr().String()
		}
		conn, err := net.ListenPacket("udp", anyLoopbackPort)
		if err != nil {
			return err
		}
		reserved = append(reserved, conn)
		listen.Gossip = conn.LocalAddr().String()
	}
	e.connectInstances(instances)
	return nil
}

// connectInstances sets each instance's seeds to all others and its platform
// addresses to the stand-ins, and publishes the instances in the instance list.
func (e *Estate) connectInstances(instances []settings.Settings) {
	peers := make([]settings.Peer, 0, len(instances))
	listed := make([]objectstore.Instance, 0, len(instances))
	for _, s := range instances {
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
	for i := range instances {
		instances[i].Seeds = nil
		for _, peer := range peers {
			if peer.Instance != instances[i].Instance {
				instances[i].Seeds = append(instances[i].Seeds, peer)
			}
		}
		instances[i].Intervals.LimitReports = estate.Duration(cmp.Or(e.options.LimitPeriod, defaultLimitPeriod))
		instances[i].Platform.ObjectAPI = e.ObjectAPI.URL()
		instances[i].Platform.InstanceList = e.InstanceList.URL()
		instances[i].Platform.WeightStore = e.WeightStore.URL()
	}
	e.InstanceList.Set(listed)
}
