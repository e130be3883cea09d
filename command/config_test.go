package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/command"
	"zinniamast/config"
	"zinniamast/operator"
	"zinniamast/rollout"
	"zinniamast/standin/platform"
)

// document returns a valid configuration whose default deadline distinguishes
// versions.
func document(seconds int) string {
	return fmt.Sprintf(`{
  "defaults": {"deadline": "%ds"},
  "exceptions": [{"match": {"organisation": "north"}, "set": {"share": 2}, "reason": "agreed in March"}],
  "organisations": [{"name": "north", "key_hashes": ["%064x"]}],
  "models": [{"name": "drafts"}],
  "services": []
}`, seconds, 7)
}

// runCommand runs a command, fails the test if its exit code is not want, and
// returns what the command printed.
func (f *fleet) runCommand(t *testing.T, want int, run func([]string, *bytes.Buffer, *bytes.Buffer) int, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	got := run(args, &out, &errOut)
	if got != want {
		t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, want, &out, &errOut)
	}
	return out.String() + errOut.String()
}

func runConfig(args []string, out, errOut *bytes.Buffer) int {
	return command.Config(args, out, errOut)
}

func runStatus(args []string, out, errOut *bytes.Buffer) int {
	return command.Status(args, out, errOut)
}

// The test runs the config and status commands and checks the exit codes that
// scripts rely on. A put that starts from an outdated version must be rejected
// with the difference, and a caller without an operator key must be refused.
func TestConfigAndStatusCommands(t *testing.T) {
	check := is.New(t)
	f := newFleet(t, 3, 3)
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) { check.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	to := []string{"-node", f.nodes[4].server.Address(), "-key-file", f.keyFile}
	put := func(want, base int, more ...string) string {
		args := append([]string{"put", "-base", fmt.Sprint(base), "-who", "nadia", "-why", "trial"}, to...)
		return f.runCommand(t, want, runConfig, append(append(args, more...), file)...)
	}
	write(document(60))
	check.True(strings.Contains(f.runCommand(t, 0, runConfig, "check", file), "ok: 1 organisations"))
	printed := put(0, 0)
	check.True(strings.Contains(printed, "version 1 is accepted and in force at every node"))
	for _, domain := range []string{"domain-a", "domain-b", "domain-c"} {
		check.True(strings.Contains(printed, domain+"        3 of 3"))
	}
	for _, n := range f.nodes {
		check.Equal(n.rollout.Number(), uint64(1))
	}
	write(document(61))
	put(0, 1)
	write(document(62))
	conflict := put(4, 1)
	check.True(strings.Contains(conflict, "version 2 is the newest, by nadia"))
	check.True(strings.Contains(conflict, `~ defaults.deadline: "1m0s" -> "1m1s"`))
	write(strings.Replace(document(62), `{"name": "drafts"}`, ``, 1))
	check.True(strings.Contains(put(5, 2), "every request would be refused"))
	put(0, 2, "-force")
	write(strings.Replace(document(62), "agreed in March", "", 1))
	check.True(strings.Contains(put(1, 3), "exceptions[0].reason"))
	f.runCommand(t, 1, runConfig, "check", file)
	got := f.runCommand(t, 0, runConfig, append([]string{"get", "-version", "1"}, to...)...)
	check.True(strings.HasPrefix(got, document(60)))
	history := f.runCommand(t, 0, runConfig, append([]string{"history"}, to...)...)
	check.True(strings.Contains(history, "exception organisation=north: agreed in March"))
	check.True(strings.Index(history, "version 3") < strings.Index(history, "version 1"))
	var versions []rollout.NodeVersion
	check.NoErr(json.Unmarshal([]byte(f.runCommand(t, 0, runConfig, append([]string{"status", "-json"}, to...)...)), &versions))
	check.Equal(len(versions), 9)
	var status operator.Status
	check.NoErr(json.Unmarshal([]byte(f.runCommand(t, 0, runStatus, append([]string{"-json"}, to...)...)), &status))
	check.Equal(status.Refusals["over_share"], uint64(3))
	check.Equal(len(status.Leases), 1)
	check.Equal(status.Held[0].Fingerprint, "0000000000000007")
	check.Equal(len(status.Failures), 1)
	text := f.runCommand(t, 0, runStatus, to...)
	check.True(strings.Contains(text, "could not read unknowns"))
	check.True(strings.Contains(text, "0000000000000007"))
	check.True(strings.Contains(f.runCommand(t, 0, runStatus, append([]string{"-why", "r-1"}, to...)...), "story of r-1"))
	f.checkRefusals(t, file)
}

// checkRefusals runs the commands with a peer key, which is present on every node
// but must not authorise operator calls, and with wrong usage.
func (f *fleet) checkRefusals(t *testing.T, file string) {
	check := is.New(t)
	wrong := filepath.Join(t.TempDir(), "key")
	check.NoErr(os.WriteFile(wrong, []byte(peerKey), 0o600))
	to := []string{"-node", f.nodes[0].server.Address(), "-key-file", wrong}
	before := f.nodes[0].rollout.Number()
	check.True(strings.Contains(f.runCommand(t, 1, runStatus, to...), "refused"))
	check.True(strings.Contains(f.runCommand(t, 1, runConfig, append([]string{"get"}, to...)...), "refused"))
	f.runCommand(t, 1, runConfig, append(append([]string{"put", "-base", "3", "-who", "x", "-why", "x"}, to...), file)...)
	check.Equal(f.nodes[0].rollout.Number(), before)
	f.runCommand(t, 2, runConfig, "put", file)
	f.runCommand(t, 2, runConfig)
	f.runCommand(t, 2, runConfig, "nonsense")
	f.runCommand(t, 0, runConfig, "-h")
	f.runCommand(t, 2, runStatus, "-key-file", filepath.Join(t.TempDir(), "none"), "-node", "127.0.0.1:1")
}

// BenchmarkInForce measures the time from the acceptance of a change until the
// last of nine nodes has it in force. The table is healthy, slow, or unavailable
// directly after it has accepted the change. Run it with -benchtime 40x.
func BenchmarkInForce(b *testing.B) {
	cases := []struct {
		name  string
		fault platform.Fault
		// downAfter makes the table unavailable once it has accepted the change.
		downAfter bool
	}{
		{name: "healthy"},
		{name: "slow", fault: platform.Fault{Slow: config.Duration(200 * time.Millisecond)}},
		{name: "down_after_acceptance", downAfter: true},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			check := is.New(b)
			f := newFleet(b, 3, 3)
			set := func(fault platform.Fault) { check.NoErr(f.platform.SetFault(platform.ServiceTable, fault)) }
			if c.downAfter {
				f.table.setAfterWrite(func() { set(platform.Fault{Down: true}) })
			}
			var delays []time.Duration
			for i := range b.N {
				set(c.fault)
				reply := f.nodes[i%len(f.nodes)].rollout.Put(context.Background(), rollout.Put{
					Raw:  []byte(document(60 + i%2)),
					Base: uint64(i),
					Who:  "bench",
					Why:  "bench",
				})
				check.Equal(reply.Outcome, rollout.InForce)
				last := time.Duration(0)
				for _, node := range reply.Nodes {
					last = max(last, node.Since.Sub(reply.Accepted))
				}
				delays = append(delays, last)
			}
			slices.Sort(delays)
			b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(delays[len(delays)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// BenchmarkTraffic measures the traffic of nine idle nodes below TLS, in bytes per
// second and node, and its CPU time, in percent of a core per node. Run it with
// -benchtime 1x.
func BenchmarkTraffic(b *testing.B) {
	f := newFleet(b, 3, 3)
	const window = 10 * time.Second
	for b.Loop() {
		bytesBefore, cpuBefore := f.trafficBytes(), cpuTime()
		time.Sleep(window)
		nodeSeconds := window.Seconds() * float64(len(f.nodes))
		b.ReportMetric(float64(f.trafficBytes()-bytesBefore)/nodeSeconds, "B/s/node")
		b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/nodeSeconds, "core-%/node")
	}
}

// cpuTime returns the CPU time that this process has used, or zero if it is not
// known.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *fleet) trafficBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.pool.Traffic().In.Load() + n.pool.Traffic().Out.Load()
		sum += n.server.Traffic().In.Load() + n.server.Traffic().Out.Load()
	}
	return sum
}
