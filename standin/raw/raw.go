// Package raw is a stand-in for any HTTP server that is in trouble. It answers each request with the same
// bytes, also with such as net/http would not send.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// Server is the stand-in.
type Server struct {
	listener net.Listener
	answer   string
	requests atomic.Int64
	conns    atomic.Int64
}

// New starts a server on a free port. It keeps a connection until its client closes it, or until an answer
// with the line "Connection: close".
func New(answer string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		answer:   answer,
	}
	go s.accept()
	return s, nil
}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

// Requests returns the number of requests so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Connections returns the number of connections so far.
func (s *Server) Connections() int { return int(s.conns.Load()) }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.WriteString(conn, s.answer); err != nil || strings.Contains(s.answer, "\r\nConnection: close\r\n") {
			return
		}
	}
}
