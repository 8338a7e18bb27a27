//go:build review

// SPDX-License-Identifier: Apache-2.0

// Package stage plays a small deployment for the scripts of a review: it starts the project's nodes as
// separate processes on loopback addresses, with settings files as the users' pages show them, and stands in
// for the platform, the operator, the clients and the workers.
//
// Everything runs on the real clock. A run ends all processes that it started.
package stage

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/platform"
)

// Ports of the nodes, the same on all of them as on the platform.
const (
	frontPort   = 8783
	readyPort   = 8780
	controlPort = 8785
	firstPort   = 7400
	lastPort    = 7415
	workerPort  = 8080
)

// zones are the zones of the deployment, which is one region.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// Stage is one run.
type Stage struct {
	dir    string // temporary folder
	prefix string // of the loopback addresses, "127.X.Y."
	node   string // the program of the nodes
	record *os.File

	mu       sync.Mutex // guards the fields below
	began    time.Time
	commands []*exec.Cmd
	fronts   []*Node
	cores    []*Node
}

// Node is a gateway or a directory replica.
type Node struct {
	Name, IP string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// New prepares a run. The first argument of the program is the file for its record.
func New() (*Stage, error) {
	if len(os.Args) != 2 {
		return nil, fmt.Errorf("usage: %s RECORD", os.Args[0])
	}
	node, err := filepath.Abs("target/badgerspoke-node")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(node); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	record, err := os.Create(os.Args[1])
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &Stage{dir: dir, node: node, record: record, began: time.Now()}
	return s, s.pickAddresses()
}

// pickAddresses finds a /24 of loopback addresses on which no port of the run is in use.
func (s *Stage) pickAddresses() error {
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, firstPort, lastPort, workerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", s.prefix, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

// IP returns a loopback address of the run.
func (s *Stage) IP(n int) string { return fmt.Sprintf("%s%d", s.prefix, n) }

// Logf writes a line to the record.
func (s *Stage) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// StartNodes starts a whole system for the first time.
func (s *Stage) StartNodes(cores, fronts int) error {
	s.PlanCores(cores)
	if err := s.StartCores(); err != nil {
		return err
	}
	return s.StartFronts(fronts)
}

// PlanCores names the directory replicas, the first three of which are the seeds.
func (s *Stage) PlanCores(count int) {
	for i := range count {
		s.cores = append(s.cores, &Node{Name: fmt.Sprintf("core-%s-%d", zones[i%len(zones)], i+1), IP: s.IP(20 + i)})
	}
}

// StartCores starts the directory replicas for the first time.
func (s *Stage) StartCores() error {
	for i, n := range s.cores {
		if err := s.startNode(n, zones[i%len(zones)], true); err != nil {
			return err
		}
	}
	return nil
}

// StartFronts starts the gateways for the first time.
func (s *Stage) StartFronts(count int) error {
	for i := range count {
		s.fronts = append(s.fronts, &Node{Name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), IP: s.IP(40 + i)})
	}
	for i, n := range s.fronts {
		if err := s.startNode(n, zones[i%len(zones)], false); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts one node with the run command of the deploy file.
func (s *Stage) startNode(n *Node, zone string, core bool) error {
	dir := filepath.Join(s.dir, n.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(dir, "node.conf")
	if err := os.WriteFile(path, []byte(s.settings(n, zone, core, dir)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(s.node)
	n.cmd.Env = []string{platform.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "LANG=" + os.Getenv("LANG")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := s.start(n.cmd); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() { _ = n.cmd.Wait(); close(n.exited) }()
	return nil
}

// start starts a process that Close ends.
func (s *Stage) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = append(s.commands, cmd)
	return nil
}

// settings returns a settings file as on the pages, with the figures of the small deployments.
func (s *Stage) settings(n *Node, zone string, core bool, dir string) string {
	var seeds []string
	for _, c := range s.cores[:min(3, len(s.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPort))
	}
	lines := []string{
		"NodeName=" + n.Name, "Ip=" + n.IP, "Zone=" + zone, "Region=region-1", fmt.Sprintf("PortRange=%d,%d", firstPort, lastPort),
		"Seeds=" + strings.Join(seeds, ","), fmt.Sprintf("Bootstrap=%t", n.cmd == nil), "Limits.LinkMbps=1000.0", "Limits.Cores=1",
		"Discovery=registry", "Entry=vip", "HeartbeatMs=1200", "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000",
		"Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000",
		"Bounds.RevokePartitioned=false", "Bounds.RevokeMs=5000", "Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.BudgetExtra=58",
		"Bounds.RecoveryS=12", "Bounds.PassMs=120", "Bounds.RetryAfterS=9", "Bounds.QuotaWindowS=4", "ConfigMode=highest",
	}
	for _, z := range zones {
		lines = append(lines, "Zones."+z+"=region-1")
	}
	if core {
		lines = append(lines, "Role=directory", "MachineClass=core", "Serves=control", fmt.Sprintf("Listen.Control=%s:%d", n.IP, controlPort),
			"LossCounts=true", "Limits.CpuShare=0.96", "Limits.MemoryMb=280", "Limits.MaxFds=4096", "Limits.DiskMb=128", "DataDir="+filepath.Join(dir, "data"))
	} else {
		lines = append(lines, "Role=gateway", "MachineClass=front", "Serves=front", fmt.Sprintf("Listen.Front=%s:%d", n.IP, frontPort),
			fmt.Sprintf("Listen.Ready=%s:%d", n.IP, readyPort), "LossCounts=false", "Limits.CpuShare=0.4", "Limits.MemoryMb=284", "Limits.MaxFds=4200", "Limits.DiskMb=0")
	}
	return strings.Join(lines, "\n") + "\n"
}

// Controls returns the control addresses.
func (s *Stage) Controls() (all []string) {
	for _, c := range s.cores {
		all = append(all, fmt.Sprintf("%s:%d", c.IP, controlPort))
	}
	return all
}

// Fronts returns the addresses at which clients reach the gateways.
func (s *Stage) Fronts() (all []string) {
	for _, f := range s.fronts {
		all = append(all, fmt.Sprintf("%s:%d", f.IP, frontPort))
	}
	return all
}

// NodeLogs copies the lines of the nodes' logs that contain one of the texts to the record.
func (s *Stage) NodeLogs(texts ...string) {
	for _, n := range append(append([]*Node{}, s.cores...), s.fronts...) {
		b, _ := os.ReadFile(filepath.Join(s.dir, n.Name, "log"))
		for line := range strings.Lines(string(b)) {
			for _, text := range texts {
				if strings.Contains(line, text) {
					s.Logf("log of %s: %s", n.Name, strings.TrimSpace(line))
					break
				}
			}
		}
	}
}

// Ended returns the nodes that have ended by themselves.
func (s *Stage) Ended() (names []string) {
	for _, n := range append(append([]*Node{}, s.cores...), s.fronts...) {
		select {
		case <-n.exited:
			names = append(names, n.Name)
		default:
		}
	}
	return names
}

// Close ends all processes of the run and removes its folder.
func (s *Stage) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.commands {
		_ = c.Process.Kill() // it may have ended
	}
	s.record.Close()
	os.RemoveAll(s.dir)
}

// Front is a gateway as the platform sees it.
type Front struct {
	Address string
	s       *Stage
	node    *Node
	zone    string
}

// FrontNodes returns the gateways.
func (s *Stage) FrontNodes() (all []*Front) {
	for i, n := range s.fronts {
		all = append(all, &Front{Address: fmt.Sprintf("%s:%d", n.IP, frontPort), s: s, node: n, zone: zones[i%len(zones)]})
	}
	return all
}

// Name returns the gateway's name.
func (f *Front) Name() string { return f.node.Name }

// Ready asks the gateway whether it is ready, as the platform does.
func (f *Front) Ready() bool {
	status, _, err := callOnce("GET", fmt.Sprintf("%s:%d", f.node.IP, readyPort), "/readyz", nil)
	return err == nil && status == 200
}

// Restart stops the gateway with SIGTERM, with SIGKILL once the grace is over, and starts it again. It returns how long
// the gateway ran after the SIGTERM.
func (f *Front) Restart(grace time.Duration) (ran time.Duration, err error) {
	began := time.Now()
	if err := f.node.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-f.node.exited:
	case <-time.After(grace):
		_ = f.node.cmd.Process.Kill() // it may have ended meanwhile
		<-f.node.exited
	}
	ran = time.Since(began)
	return ran, f.s.startNode(f.node, f.zone, false)
}

// KillCores kills the processes of all directory replicas, and starts them again after pause. Their disks are kept.
func (s *Stage) KillCores(pause time.Duration) error {
	for _, n := range s.cores {
		_ = n.cmd.Process.Kill() // it may have ended
	}
	for _, n := range s.cores {
		<-n.exited
	}
	s.Logf("all core processes are killed")
	time.Sleep(pause)
	for i, n := range s.cores {
		if err := s.startNode(n, zones[i%len(zones)], true); err != nil {
			return err
		}
	}
	s.Logf("all core processes are started again")
	return nil
}
