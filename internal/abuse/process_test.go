package abuse

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/loopback"
	"github.com/verbenaspur/verbenaspur/platform/platformtest"
)

const (
	// memoryMB and fewDescriptors are the limits in the settings of the process, and
	// manyDescriptors is one that leaves memory to bind. Of the descriptors,
	// reservedDescriptors are for files, and sockets and pipes share the rest (the page "How
	// verbenaspur is run", section "Machines").
	memoryMB            = 80
	fewDescriptors      = 400
	manyDescriptors     = 4100
	reservedDescriptors = 200

	callersPort = 8368
	readyPort   = 8369
	metricsPort = 9464
	peerPort    = 7780

	// answerPadding makes the answers of the route /lookup/ long.
	answerPadding = 150_000
	sampleDelay   = 20 * time.Millisecond
)

const settingsText = `node: entry-0
ip: %[1]s
zone: d0
region: r
listen: {front: "%[1]s:%[2]d", ready: "%[1]s:%[3]d"}
internal_ports: [%[4]d]
limits: {memory_mb: %[5]d, max_fds: %[6]d}
bounds: {config_ms: 2000, revoke_ms: 5000, drain_ms: 2000, grace_s: 8, retry_ratio: 0.2, budget_window_s: 10, budget_slack: 50, lease_ms: 3000, window_s: 5, usage_late_s: 10}
provider: {addr: %[7]q}
cloud: {addr: %[7]q, duties: [metering]}
`

// daemon is a running entry daemon with stand-ins of its platform and targets.
type daemon struct {
	t   *testing.T
	ip  string
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	log    string
	// maxDescriptors is the limit of descriptors in its settings.
	maxDescriptors int64

	mu   sync.Mutex
	peak usage
}

// usage is what the process holds: bytes of memory, of which received are those that wait
// in the queues of its sockets, and descriptors of sockets and pipes, and of all kinds.
type usage struct{ memory, received, sockets, descriptors int64 }

// buildDaemon builds the daemon and returns the path of its binary.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "verbenaspurd")
	out, err := exec.Command("go", "build", "-o", bin, "github.com/verbenaspur/verbenaspur/cmd/verbenaspurd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

// newDaemon starts an entry daemon and waits until it is ready.
func newDaemon(t *testing.T, maxDescriptors int64) *daemon {
	t.Helper()
	bin, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	store := platformtest.NewStore(t)
	route := func(name, mode, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h", "path_prefix": "/" + name + "/", "mode": mode, "service": service,
			"attempts": 1, "timeout_ms": 3000, "slo_ms": 800,
		}
	}
	store.Put("config", "main", map[string]any{
		"version": 1, "tenants": []any{map[string]any{"name": "acme", "api_keys": []string{"key"}}},
		"routes":   []any{route("order", "unsafe", "app"), route("lookup", "safe", "archive")},
		"services": []any{map[string]any{"name": "app", "max_conns": 100}, map[string]any{"name": "archive", "max_conns": 100}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i, service := range []string{"app", "app", "archive", "archive"} {
		r := platformtest.NewRunner(t, fmt.Sprint("r-", i), "")
		if service == "archive" {
			r.AnswerPadding = answerPadding
		}
		store.Put("servers", r.ID, r.Registration(service, "d0", "ready"))
	}
	d := &daemon{t: t, ip: loopback.IP(0), exited: make(chan struct{}), maxDescriptors: maxDescriptors}
	d.start(bin, store.Addr)
	d.awaitReady()
	return d
}

func (d *daemon) start(bin, storeAddr string) {
	dir := d.t.TempDir()
	settings := filepath.Join(dir, "node.yaml")
	text := fmt.Sprintf(settingsText, d.ip, callersPort, readyPort, peerPort, memoryMB, d.maxDescriptors, storeAddr)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.log = filepath.Join(dir, "log")
	log, err := os.Create(d.log)
	if err != nil {
		d.t.Fatal(err)
	}
	d.cmd = exec.Command(bin, "direct", "--settings", settings, "--metrics", d.addr(metricsPort))
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		d.sample()
	}()
	d.t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
		<-sampled
		_ = log.Close()
	})
}

func (d *daemon) addr(port int) string { return net.JoinHostPort(d.ip, strconv.Itoa(port)) }

func (d *daemon) awaitReady() {
	d.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(sampleDelay) {
		if _, err := os.Stat("/proc/" + strconv.Itoa(d.cmd.Process.Pid)); err != nil {
			break
		}
		if status, _ := d.ask(readyRequest); status == 200 {
			return
		}
	}
	d.t.Fatal("the daemon is not ready")
}

// sample records what the process holds at most, until it ends.
func (d *daemon) sample() {
	for {
		select {
		case <-d.exited:
			return
		case <-time.After(sampleDelay):
		}
		now := d.usage()
		d.mu.Lock()
		d.peak = usage{
			memory: max(d.peak.memory, now.memory), received: max(d.peak.received, now.received),
			sockets: max(d.peak.sockets, now.sockets), descriptors: max(d.peak.descriptors, now.descriptors),
		}
		d.mu.Unlock()
	}
}

// usage returns what the process holds now.
func (d *daemon) usage() usage {
	proc := "/proc/" + strconv.Itoa(d.cmd.Process.Pid)
	entries, _ := os.ReadDir(proc + "/fd")
	u := usage{descriptors: int64(len(entries))}
	inodes := make(map[string]bool)
	for _, e := range entries {
		link, _ := os.Readlink(proc + "/fd/" + e.Name())
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
			u.sockets++
		} else if strings.HasPrefix(link, "pipe:") {
			u.sockets++
		}
	}
	tcp, _ := os.ReadFile(proc + "/net/tcp")
	for _, line := range strings.Split(string(tcp), "\n") {
		// The fifth field is TX:RX in hexadecimal, and the tenth the inode. RX of a socket
		// that listens is the length of its queue.
		f := strings.Fields(line)
		if len(f) < 10 || !inodes[f[9]] || f[3] == "0A" {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		u.received += n
	}
	u.memory = d.resident("VmRSS:") + u.received
	return u
}

// resident returns a size that the kernel states for the process, in bytes.
func (d *daemon) resident(name string) int64 {
	status, _ := os.ReadFile("/proc/" + strconv.Itoa(d.cmd.Process.Pid) + "/status")
	for _, line := range strings.Split(string(status), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// checkBounds checks that the process lives and has stayed within its limits.
func (d *daemon) checkBounds() {
	d.t.Helper()
	select {
	case <-d.exited:
		d.t.Fatalf("the process has ended: %v", d.cmd.ProcessState)
	default:
	}
	resident := d.resident("VmHWM:")
	d.mu.Lock()
	peak := d.peak
	d.mu.Unlock()
	peak.memory = max(peak.memory, resident)
	d.t.Logf("peak: memory %d MB (received and unread %d MB), %d sockets, %d descriptors", peak.memory>>20, peak.received>>20, peak.sockets, peak.descriptors)
	if peak.memory > memoryMB<<20 {
		d.t.Errorf("memory: %d MB, bound %d MB", peak.memory>>20, memoryMB)
	}
	if peak.sockets > d.maxDescriptors-reservedDescriptors {
		d.t.Errorf("sockets and pipes: %d, bound %d", peak.sockets, d.maxDescriptors-reservedDescriptors)
	}
	if peak.descriptors > d.maxDescriptors {
		d.t.Errorf("descriptors: %d, bound %d", peak.descriptors, d.maxDescriptors)
	}
}

// stop asks the process to end and reports whether it did.
func (d *daemon) stop() bool {
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
		return true
	case <-time.After(time.Minute):
		return false
	}
}
