package plain_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/plain"
)

// earlyHead is the head of an answer that ends with its connection.
const earlyHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

// earlyServer answers each request as soon as it has read the head.
type earlyServer struct {
	answer string
	// pause is the time between the answer and the end of the connection, which end brings about.
	pause time.Duration
	end   func(*net.TCPConn)
}

func (s earlyServer) start(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (s earlyServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	head := make([]byte, 0, 1024)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		var b [1]byte
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
		head = append(head, b[0])
	}
	if _, err := io.WriteString(conn, s.answer); err != nil {
		return
	}
	time.Sleep(s.pause)
	s.end(conn)
}

// The ways in which a server ends its connection during an upload: with a reset, by a close with bytes
// unread, which the kernel makes a reset, and in order.
func endWithReset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

func endUnread(*net.TCPConn) {}

func endInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// upload sends a body of some size to a server.
func upload(t *testing.T, address string, size int) (body string, err error) {
	client := plain.New(plain.Config{
		Upstream: "u",
		Address:  "http://" + address,
	})
	defer client.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Send(t.Context(), request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// Guards against an answer that is reset during the upload and passes for complete, as the failed write hides the reset from the read.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	const part = "fifteen bytes.."
	answers := map[string]string{
		"unframed": earlyHead + "\r\n" + part,
		"length":   earlyHead + "Content-Length: 45\r\n\r\n" + part,
		"chunks":   earlyHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + part + "\r\n",
	}
	ends := map[string]func(*net.TCPConn){
		"reset":  endWithReset,
		"unread": endUnread,
	}
	for framing, answer := range answers {
		for name, end := range ends {
			for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
				t.Run(fmt.Sprint(framing, " ", name, " ", pause), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					address := earlyServer{
						answer: answer,
						pause:  pause,
						end:    end,
					}.start(t)
					for range 12 {
						body, err := upload(t, address, 4<<20)
						if err == nil {
							t.Logf("complete with %q", body)
						}
						is.True(err != nil)
					}
				})
			}
		}
	}
}

// Guards against taking an early answer for broken whose replica ends it in order.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	const all = "forty-five bytes, which are all of the answer"
	for _, size := range []int{10, 200 << 10, 4 << 20} {
		is := is.New(t)
		address := earlyServer{
			answer: earlyHead + "\r\n" + all,
			end:    endInOrder,
		}.start(t)
		for range 5 {
			body, err := upload(t, address, size)
			is.NoErr(err)
			is.Equal(body, all)
		}
	}
}

// Guards against waiting without end for the rest of an upload that the replica no longer reads.
func TestEarlyAnswerIsNotHeldForUpload(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	defer close(stop)
	address := earlyServer{
		answer: earlyHead + "\r\nall",
		end: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			<-stop
		},
	}.start(t)
	began := time.Now()
	body, err := upload(t, address, 16<<20)
	is.NoErr(err)
	is.Equal(body, "all")
	is.True(time.Since(began) < 3*time.Second)
}

// Guards against counting an answer that ends early as an upstream that did not run the request.
func TestEarlyAnswerThatIsResetMayHaveRun(t *testing.T) {
	is := is.New(t)
	address := earlyServer{
		answer: earlyHead + "\r\npart",
		pause:  20 * time.Millisecond,
		end:    endWithReset,
	}.start(t)
	client := plain.New(plain.Config{
		Upstream: "u",
		Address:  "http://" + address,
	})
	call := booking()
	call.Body = make([]byte, 4<<20)
	_, err := client.Call(t.Context(), call)
	is.True(err != nil)
	is.True(zinniamast.AsUpstreamError(err).Outcome().Ran != zinniamast.NotRun)
}
