package peer

import "net"

// countingConn adds the bytes of a connection to its client's counters.
type countingConn struct {
	net.Conn
	client *Client
}

// Read implements net.Conn.
func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.client.bytesIn.Add(uint64(max(0, count)))
	return count, err
}

// Write implements net.Conn.
func (c *countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.client.bytesOut.Add(uint64(max(0, count)))
	return count, err
}
