// Package faultnet wraps a TCP listener so that a stand-in can break, freeze
// and silence its connections.
package faultnet

import (
	"net"
	"sync"
)

// Listener tracks its connections and applies faults to them.
type Listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	paused chan struct{}
}

// Listen opens a TCP listener on the address; "127.0.0.1:0" picks a free port.
func Listen(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, conns: make(map[*Conn]struct{})}, nil
}

// Accept returns the next connection, tracked.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: inner, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// Pause freezes every present and future connection until Resume.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (l *Listener) Unpause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
	}
}

// Silence makes the open connections swallow everything written to them from
// now on. New connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.silent.Store(true)
	}
}

// Kill closes the listener and every connection at once.
func (l *Listener) Kill() {
	_ = l.Close()
	l.Unpause()
	l.CloseConnections()
}

// CloseConnections closes every open connection; the listener goes on.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	open := make([]*Conn, 0, len(l.conns))
	for conn := range l.conns {
		open = append(open, conn)
	}
	l.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// pauseGate returns a channel that closes when the pause ends, nil when there
// is none.
func (l *Listener) pauseGate() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

func (l *Listener) forget(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}
