package brokenanswer

import (
	"net"
	"strconv"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// maxHeadBytes and maxBodyBytes bound the requests in bytes.
const (
	maxHeadBytes = 64 << 10
	maxBodyBytes = 64 << 20
)

// Server is a server on loopback that leaves its answers to a function.
type Server struct {
	listener net.Listener
	answer   func(*Call)
	// early is set when requests are answered before their bodies are read.
	early      bool
	mu         sync.Mutex
	open       map[net.Conn]struct{}
	closed     bool
	goroutines sync.WaitGroup
}

// Call is one request with its connection.
type Call struct {
	Conn net.Conn
	Head *http1.Request
	// Body is empty where the request is answered before it is read.
	Body []byte
}

// NewServer starts a server on a free port of loopback.
func NewServer(answer func(*Call)) (*Server, error) { return NewServerAt("127.0.0.1:0", answer) }

// NewServerAt is NewServer at an address, "ip:port".
func NewServerAt(address string, answer func(*Call)) (*Server, error) {
	return newServer(address, false, answer)
}

// NewEarlyServerAt is NewServerAt for a server that answers requests before it reads their bodies.
func NewEarlyServerAt(address string, answer func(*Call)) (*Server, error) {
	return newServer(address, true, answer)
}

func newServer(address string, early bool, answer func(*Call)) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, answer: answer, early: early, open: make(map[net.Conn]struct{})}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Address returns the address of the server, "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = conn.Close()
		}
		s.open[conn] = struct{}{}
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := http1.NewReader(conn)
	for {
		text, err := reader.Head(maxHeadBytes)
		if err != nil {
			return
		}
		head, err := http1.ParseRequest(text)
		if err != nil {
			return
		}
		call := &Call{Conn: conn, Head: head}
		if s.early {
			s.answer(call)
		}
		if call.Body, err = reader.Body(head.Framing).ReadAll(maxBodyBytes); err != nil {
			return
		}
		if !s.early {
			s.answer(call)
		}
	}
}

// Write sends text unchanged.
func (c *Call) Write(text string) { _, _ = c.Conn.Write([]byte(text)) } // The client may have closed the connection.

// Succeed sends a sound answer; fields are lines of its head, each with its line end.
func (c *Call) Succeed(fields, body string) {
	c.Write("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// Close ends the connection in order.
func (c *Call) Close() { _ = c.Conn.Close() }

// Reset resets the connection.
func (c *Call) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
