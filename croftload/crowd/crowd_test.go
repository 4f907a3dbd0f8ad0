// Package crowd tests an instance with croftmoor's own interface, a process of its own, before callers
// that keep to no limit. Its tests run one at a time and without other load.
package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/croftload/bench"
	"croftmoor.dev/kernel/clock"
)

const (
	// mostMegabytes is what an instance may take of a node's memory.
	mostMegabytes = 256
	// callers send bodies of bodyBytes, which the interface allows, but for the last byte.
	callers   = 120
	bodyBytes = 15 << 20
	writeTerm = 3 * time.Second
	// startTerm bounds the start of the processes and an answer.
	startTerm = 30 * time.Second
)

// binDir holds the programs.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "croftmoor-crowd-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	for _, program := range []string{"croftmoor", "croftfake"} {
		build := exec.CommandContext(context.Background(), "go", "build", "-o", filepath.Join(dir, program), ".")
		build.Dir = filepath.Join("..", "..", program)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Large bodies that stop short of their end must cost an instance neither its memory nor the answers
// of others.
func TestCrowdAtTheOwnInterface(t *testing.T) {
	cluster := &bench.Cluster{
		Shape: bench.Shape{Zones: []string{"a"}, Instances: 1, Engines: 1, Servers: 1, Settings: bench.Settings{LogLevel: "info", DecisionsPerSecond: 200}},
		Bin:   binDir, Dir: t.TempDir(), Clock: clock.New(),
	}
	t.Cleanup(cluster.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), startTerm)
	defer cancel()
	if err := cluster.Start(ctx); err != nil {
		t.Fatal(err)
	}
	instance := cluster.Proc(cluster.Instances()[0])
	body := strings.Repeat("x", bodyBytes-1)
	var group conc.WaitGroup
	for range callers {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", instance.Callers, startTerm) //nolint:noctx // bounded by its time
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(writeTerm))
			_, _ = fmt.Fprintf(conn, "POST /svc/holds/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body)
		})
	}
	group.Wait()
	if instance.Ended() {
		t.Fatal("the instance has ended")
	}
	if peak := peakMegabytes(t, instance.PID()); peak > mostMegabytes {
		t.Errorf("%d MB at the peak, want %d at most", peak, mostMegabytes)
	}
	client := &http.Client{Timeout: startTerm}
	response, err := client.Get("http://" + instance.Callers + "/svc/holds/x") //nolint:noctx // bounded by the client's time
	if err != nil {
		t.Fatalf("an ordinary request beside them: %v", err)
	}
	_ = response.Body.Close()
}

// peakMegabytes returns the most memory that a process has had.
func peakMegabytes(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes >> 10
		}
	}
	t.Fatal("no peak of the memory")
	return 0
}
