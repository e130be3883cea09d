package peer

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"sync"

	"github.com/ansel1/merry/v2"
)

// maxRetainedBufferBytes is the largest write buffer that is reused for the next message.
const maxRetainedBufferBytes = 64 << 10

// codec is the gob codec of net/rpc with a limit on the size of each message.
// Clients and servers use it.
type codec struct {
	conn    *limitedConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  bytes.Buffer
	// callSlots limits the running calls of a server; it is nil on a client.
	callSlots chan struct{}
	closeOnce sync.Once
}

func newCodec(conn *limitedConn, maxCalls int) *codec {
	c := &codec{
		conn:    conn,
		decoder: gob.NewDecoder(conn),
	}
	c.encoder = gob.NewEncoder(&c.buffer)
	if maxCalls > 0 {
		c.callSlots = make(chan struct{}, maxCalls)
	}
	return c
}

// send encodes header and body completely before it writes the first byte, so
// that nothing of a message above the limit is sent.
func (c *codec) send(header, body any) error {
	c.buffer.Reset()
	if err := c.encode(header, body); err != nil {
		return err
	}
	_, err := c.conn.Write(c.buffer.Bytes())
	if c.buffer.Cap() > maxRetainedBufferBytes {
		c.buffer = bytes.Buffer{}
	}
	return err
}

func (c *codec) encode(header, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	if int64(c.buffer.Len()) > c.conn.limit {
		return merry.Wrap(ErrTooLarge, merry.NoCaptureStack(), merry.AppendMessagef("%d bytes, at most %d", c.buffer.Len(), c.conn.limit))
	}
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(request *rpc.Request) error {
	c.callSlots <- struct{}{}
	c.conn.nextMessage()
	err := c.decoder.Decode(request)
	if err != nil {
		<-c.callSlots
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec. After a message above the limit
// nothing more can be read, so it closes the connection: net/rpc would
// first answer with an error, and the client would send its next call on a
// connection that is about to close.
func (c *codec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	if c.conn.exceeded {
		_ = c.Close()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec. It closes the connection if the
// response cannot be sent; the caller would otherwise wait for it indefinitely.
func (c *codec) WriteResponse(response *rpc.Response, body any) error {
	defer func() { <-c.callSlots }()
	err := c.send(response, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(request *rpc.Request, body any) error {
	out := body.(*outgoing)
	out.writeStarted.Store(true)
	return c.send(request, out.args)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(response *rpc.Response) error {
	c.conn.nextMessage()
	return c.decoder.Decode(response)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close implements rpc.ServerCodec and rpc.ClientCodec.
func (c *codec) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.conn.Close() })
	return err
}
