package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

// Role determines which methods a connection may call.
type Role byte

// The roles of connections; each has its own keys and methods.
const (
	// RolePeer is another node of the fleet.
	RolePeer Role = 1
	// RoleOperator is an operator's command line.
	RoleOperator Role = 2
	// RoleRelay is another node of the fleet that sends HTTP requests instead of calls.
	RoleRelay Role = 3
)

// The hello consists of magic, role and MAC, the answer of one byte and a MAC.
const (
	magic         = "zmp1"
	macSize       = sha256.Size
	helloSize     = len(magic) + 1 + macSize
	answerSize    = 1 + macSize
	accepted      = 1
	refused       = 0
	exporterLabel = "EXPORTER-zinniamast-peer"
)

// Labels of the two sides in the MAC, so that a MAC of one side can't be sent
// back as the MAC of the other.
const (
	clientSide = "client"
	serverSide = "server"
)

// Hello is the first message of a client on a connection.
type Hello struct {
	// Role is the role that the client authenticates for.
	Role Role
	// MAC proves that the client holds a key of the role.
	MAC [macSize]byte
}

// Encode returns the hello in its fixed-size encoding.
func (h Hello) Encode() []byte {
	raw := make([]byte, 0, helloSize)
	raw = append(raw, magic...)
	raw = append(raw, byte(h.Role))
	return append(raw, h.MAC[:]...)
}

// DecodeHello decodes a hello. It rejects any other length, magic or role.
func DecodeHello(raw []byte) (Hello, error) {
	if len(raw) != helloSize || string(raw[:len(magic)]) != magic {
		return Hello{}, errors.New("hello has the wrong length or magic")
	}
	hello := Hello{
		Role: Role(raw[len(magic)]),
	}
	if hello.Role != RolePeer && hello.Role != RoleOperator && hello.Role != RoleRelay {
		return Hello{}, fmt.Errorf("role %d is unknown", hello.Role)
	}
	copy(hello.MAC[:], raw[len(magic)+1:])
	return hello, nil
}

// computeMAC computes the MAC of one side. The exporter differs on each
// connection, so a MAC relayed or replayed on another connection is not valid.
func computeMAC(key string, role Role, side string, exporter []byte) [macSize]byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(side))
	mac.Write([]byte{byte(role)})
	mac.Write(exporter)
	return [macSize]byte(mac.Sum(nil))
}

// findKey returns the key among keys that the MAC was computed with.
func findKey(keys []string, role Role, side string, exporter []byte, mac [macSize]byte) (string, bool) {
	for _, key := range keys {
		expected := computeMAC(key, role, side, exporter)
		if hmac.Equal(expected[:], mac[:]) {
			return key, true
		}
	}
	return "", false
}

func exportKeyingMaterial(conn *tls.Conn) ([]byte, error) {
	state := conn.ConnectionState()
	return state.ExportKeyingMaterial(exporterLabel, nil, macSize)
}

// clientHandshake authenticates to a server with the key and verifies that the
// server holds it too.
func clientHandshake(conn *tls.Conn, role Role, key string) error {
	if err := conn.Handshake(); err != nil {
		return err
	}
	exporter, err := exportKeyingMaterial(conn)
	if err != nil {
		return err
	}
	hello := Hello{
		Role: role,
		MAC:  computeMAC(key, role, clientSide, exporter),
	}
	if _, err := conn.Write(hello.Encode()); err != nil {
		return err
	}
	var answer [answerSize]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return err
	}
	if answer[0] != accepted {
		return merry.Wrap(ErrRefused, merry.NoCaptureStack())
	}
	if _, ok := findKey([]string{key}, role, serverSide, exporter, [macSize]byte(answer[1:])); !ok {
		return merry.Wrap(ErrRefused, merry.NoCaptureStack(), merry.AppendMessage("the server proved no shared key"))
	}
	return nil
}

// serverHandshake verifies a client's MAC and answers with a MAC of the same
// key: during a key rotation the two ends list their keys in different orders,
// but the client is known to hold this one.
func serverHandshake(conn *tls.Conn, keysOf func(Role) []string) (Role, error) {
	if err := conn.Handshake(); err != nil {
		return 0, err
	}
	exporter, err := exportKeyingMaterial(conn)
	if err != nil {
		return 0, err
	}
	var raw [helloSize]byte
	if _, err := io.ReadFull(conn, raw[:]); err != nil {
		return 0, err
	}
	hello, err := DecodeHello(raw[:])
	if err != nil {
		return 0, err
	}
	var answer [answerSize]byte
	key, ok := findKey(keysOf(hello.Role), hello.Role, clientSide, exporter, hello.MAC)
	if !ok {
		answer[0] = refused
		_, _ = conn.Write(answer[:])
		return 0, merry.Wrap(ErrRefused, merry.NoCaptureStack())
	}
	answer[0] = accepted
	mac := computeMAC(key, hello.Role, serverSide, exporter)
	copy(answer[1:], mac[:])
	_, err = conn.Write(answer[:])
	return hello.Role, err
}
