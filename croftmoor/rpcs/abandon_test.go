package rpcs

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"croftmoor.dev/kernel/ident"
)

type blobWire struct {
	Data []byte
}

const (
	// stalledWindow is the receive buffer, in bytes, of an instance that does not read.
	// messageBytes is larger, and within the flow control window of a new HTTP/2 connection.
	stalledWindow = 4 << 10
	messageBytes  = 48 << 10
	// stalledAddressEnv gives a process of the test the address of the instance.
	stalledAddressEnv = "RPCS_STALLED_ADDRESS"
	exitAfter         = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	if address := os.Getenv(stalledAddressEnv); address != "" {
		time.AfterFunc(exitAfter, func() { os.Exit(0) })
		_, err := Call[blobWire, blobWire](context.Background(), NewClient(), ident.Address(address), "/blob", &blobWire{Data: make([]byte, messageBytes)})
		fmt.Println("the call ended before its process:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// Guards against calls that reach another instance after their connection has been closed.
func TestCallOfClosedConnectionIsNotDelivered(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stalledWindow)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	caller := exec.CommandContext(t.Context(), program)
	caller.Env = append(os.Environ(), stalledAddressEnv+"="+listener.Addr().String())
	if output, err := caller.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	request, _ := io.ReadAll(conn)
	if got := len(request); got == 0 || got >= messageBytes {
		t.Errorf("the instance got %d bytes, want some of the %d of the call", got, messageBytes)
	}
}
