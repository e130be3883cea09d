// Package stage plays a small deployment for the scripts of a review: the project's program as
// separate processes, and stand-ins for the platform, the replicas and the requesters.
package stage

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"zinniamast/standin/store"
)

// The exit codes of a script.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Config describes a deployment.
type Config struct {
	// Zones are the zones of the machines, one machine each; a zone may occur twice.
	Zones []string
}

// Stage is a running deployment.
type Stage struct {
	// Store is the platform's store.
	Store    *store.Store
	Machines []*Machine

	config Config
	// network is the start of the machines' addresses, such as 127.80.1.
	network   string
	cloud     *cloud
	directory string
	started   time.Time

	mu       sync.Mutex
	record   *os.File
	replicas []*Replica
}

// HasTrouble reports whether the script plays its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a script's play and exits with its verdict. The record is written to the given file.
func Main(record string, config Config, play func(s *Stage) (broken bool)) {
	os.Exit(run(record, config, play))
}

// run plays a script and returns its exit code. A play that cannot go on panics with an error.
func run(record string, config Config, play func(s *Stage) (broken bool)) (code int) {
	s, err := newStage(record, config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer s.close()
	defer func() {
		if cause := recover(); cause != nil {
			s.Record("the case cannot run: %v", cause)
			code = Failed
		}
	}()
	s.Record("disruption played: %v", HasTrouble())
	if play(s) {
		s.Record("verdict: the rule was broken")
		return Broken
	}
	s.Record("verdict: the rule held")
	return Held
}

func newStage(record string, config Config) (*Stage, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "zinniamast-review-")
	if err != nil {
		return nil, err
	}
	return &Stage{
		Store:  store.New(),
		config: config,
		// Two scripts at a time use different addresses.
		network:   fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250),
		cloud:     newCloud(),
		directory: directory,
		started:   time.Now(),
		record:    file,
	}, nil
}

// Record writes a line to the record and to standard output.
func (s *Stage) Record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// close ends all that the stage has started.
func (s *Stage) close() {
	for _, m := range s.Machines {
		m.Kill()
	}
	for _, r := range s.replicas {
		r.Close()
	}
	s.cloud.close()
	s.Store.Close()
	_ = os.RemoveAll(s.directory)
	_ = s.record.Close()
}

// Machine is a machine of the system, with one process.
type Machine struct {
	// Name is the name of the machine, and Zone its zone.
	Name string
	Zone string
	// Frontend and Ready are the addresses of the process.
	Frontend string
	Ready    string

	stage    *Stage
	settings string
	log      string
	command  *exec.Cmd
	exited   chan struct{}
}

// settingsText is a machine's settings file.
const settingsText = `nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "region"
internalPorts = [7600,7615]
seeds = [%s]
bootstrap = %v
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"]
[zones]
%s[listen]
frontend = %q
ready = %q
controlPlane = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
fdLimit = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
%s[platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloud]
address = %q
ratePerS = 50.0
duties = ["usage","scale"]
dutyPerS = 50.0
`

// defaultBounds are the bounds of the small deployments.
var defaultBounds = [][2]string{
	{"seedLagS", "3"}, {"reuseAfterS", "2"}, {"contactMs", "3000"}, {"ackMs", "4000"}, {"catchUpS", "4"},
	{"drainMs", "2000"}, {"graceS", "8"}, {"lossSlackMs", "200"}, {"configMs", "2000"}, {"downgradeMs", "250"},
	{"outerMs", "5000"}, {"strictRevocation", "false"}, {"revokeMs", "5000"}, {"retryRatio", "0.2"},
	{"retryWindowS", "10"}, {"retrySlack", "58"}, {"quotaWindowS", "8"}, {"quotaOverage", "0.1"},
	{"quotaSlack", "140000"}, {"fencing", "false"}, {"leaseMs", "3000"}, {"thawMs", "300"}, {"windowS", "5"},
	{"usageTolerance", "0.05"}, {"usageLateS", "10"}, {"recoverS", "12"}, {"iterationMs", "120"}, {"retryAfterS", "10"},
}

// The ports of the machines, which have an address of their own each.
const (
	frontendPort = 8221
	readyPort    = 8224
	controlPort  = 8229
	metricsPort  = 7615
)

// Start starts all machines and waits until they are ready.
func (s *Stage) Start() {
	for i, zone := range s.config.Zones {
		s.Machines = append(s.Machines, &Machine{
			Name:     fmt.Sprintf("edge-%s-%d", zone, i+1),
			Zone:     zone,
			Frontend: s.address(i, frontendPort),
			Ready:    s.address(i, readyPort),
			stage:    s,
			settings: filepath.Join(s.directory, fmt.Sprintf("node-%d.toml", i+1)),
			log:      filepath.Join(s.directory, fmt.Sprintf("node-%d.log", i+1)),
		})
	}
	for i := range s.Machines {
		s.writeSettings(i, true)
	}
	for _, m := range s.Machines {
		m.Start()
	}
	for i, m := range s.Machines {
		m.AwaitReady(15 * time.Second)
		s.writeSettings(i, false)
	}
	s.Record("%d machines are ready", len(s.Machines))
}

func (s *Stage) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.network, machine+1, port)
}

// writeSettings writes the settings file of a machine.
func (s *Stage) writeSettings(machine int, isFirst bool) {
	m := s.Machines[machine]
	var seeds, zones, bounds strings.Builder
	seen := map[string]bool{}
	for i, zone := range s.config.Zones {
		if i < 3 {
			fmt.Fprintf(&seeds, "%q,", s.address(i, controlPort))
		}
		if !seen[zone] {
			fmt.Fprintf(&zones, "%s = \"region\"\n", zone)
		}
		seen[zone] = true
	}
	for _, bound := range defaultBounds {
		fmt.Fprintf(&bounds, "%s = %s\n", bound[0], bound[1])
	}
	ip, _, _ := net.SplitHostPort(m.Frontend)
	text := fmt.Sprintf(settingsText, m.Name, ip, m.Zone, strings.TrimSuffix(seeds.String(), ","), isFirst, zones.String(),
		m.Frontend, m.Ready, s.address(machine, controlPort), bounds.String(), s.Store.Address(), s.cloud.address())
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// Start starts the machine's process with the command of the deploy file.
func (m *Machine) Start() {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	m.command = exec.Command("target/zinniamast", "entry", "-metrics-port", fmt.Sprint(metricsPort))
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIAMAST_BOOT=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	m.exited = exited
	command := m.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// AwaitReady waits until the process says that it is ready.
func (m *Machine) AwaitReady(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); !m.IsReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(fmt.Errorf("%s is not ready within %v", m.Name, timeout))
		}
	}
}

// IsReady reports whether the process answers the platform's question with 200.
func (m *Machine) IsReady() bool {
	answer := Ask(m.Ready, "GET", "/readyz", nil, "", time.Second)
	return answer.Status == 200
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Kill() // It may have ended by itself.
	<-m.exited
}
