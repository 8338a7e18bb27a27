// SPDX-License-Identifier: Apache-2.0

//go:build review

// Package fleet starts the project's own programs as separate processes on loopback addresses, with
// settings like those of the deployment kmo-mapa, and stands in for the platform, the operator, the
// workers and the clients. It serves the cases of the review only.
package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/badgerspoke/badgerspoke/platform"
)

// This file defines Fleet and Node: the processes under test and what the platform does to them.

// Bounds of the deployment kmo-mapa, from its sheet.
const (
	MemoryMB  = 134 // of a front
	ContactMs = 3000
	GraceS    = 8
)

var zones = []string{"ba-hall-a", "ba-hall-b", "tt-hall"}

// Options describes a fleet.
type Options struct {
	Root    string // of the repository
	Record  *Record
	Command map[string]string // command by role ("gateway", "directory"), as in the deploy file
	Fronts  int
	Cores   int
	// EnforceMemory makes the platform kill a front that goes over MemoryMB.
	EnforceMemory bool
	// Delay, if set, is how long after the others a machine starts first. The pages allow 0.3 s.
	Delay func(f *Fleet, n *Node) time.Duration
	// Started, if set, is called after the first start of a machine.
	Started func(f *Fleet, n *Node)
}

// Fleet is a running deployment.
type Fleet struct {
	opts                                   Options
	dir                                    string
	net                                    [2]int // second and third byte of the addresses
	frontPort, readyPort, controlPort, low int
	Fronts, Cores                          []*Node
	Seeds                                  []string // control addresses
	stop                                   chan struct{}
	wg                                     sync.WaitGroup
}

// Node is one machine with one process.
type Node struct {
	f        *Fleet
	Name, IP string
	front    bool
	zone     string
	dir      string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	stopping  bool
	asked     bool // the script has killed the process
	startedAt time.Time
	first     bool
	OwnEnds   []time.Time // ends of the process that the script did not ask for
	PeakMB    int
}

// IPOf returns the address of the nth machine of this run.
func (f *Fleet) IPOf(n int) string { return fmt.Sprintf("127.%d.%d.%d", f.net[0], f.net[1], n) }

// freePorts draws a network of loopback addresses and ports on it that are free.
func (f *Fleet) freePorts(last int) error {
	for range 50 {
		f.net = [2]int{1 + rand.IntN(250), 1 + rand.IntN(250)}
		base := 20000 + rand.IntN(10000)
		f.frontPort, f.readyPort, f.controlPort, f.low = base, base+1, base+2, base+10
		if f.areFree(last) {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (f *Fleet) areFree(last int) bool {
	for n := 1; n <= last; n++ {
		for _, port := range []int{f.frontPort, f.readyPort, f.controlPort, f.low, f.low + 15} {
			l, err := net.Listen("tcp", net.JoinHostPort(f.IPOf(n), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// Start starts all machines, as at the first start of the whole system.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{opts: o, stop: make(chan struct{})}
	var err error
	if f.dir, err = os.MkdirTemp("", "badgerspoke-review-"); err != nil {
		return nil, err
	}
	if err := f.freePorts(o.Cores + o.Fronts); err != nil {
		return nil, err
	}
	for i := range o.Cores + o.Fronts {
		n := &Node{f: f, IP: f.IPOf(i + 1), front: i >= o.Cores, zone: zones[i%len(zones)], first: true}
		if n.front {
			n.Name = fmt.Sprintf("front-%s-%d", n.zone, i)
			f.Fronts = append(f.Fronts, n)
		} else {
			n.Name = fmt.Sprintf("core-%s-%d", n.zone, i)
			f.Cores = append(f.Cores, n)
			f.Seeds = append(f.Seeds, f.Control(n))
		}
		n.dir = filepath.Join(f.dir, n.Name)
		if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	f.Seeds = f.Seeds[:min(len(f.Seeds), 3)]
	began := time.Now()
	for _, n := range f.startOrder() {
		if o.Delay != nil {
			time.Sleep(time.Until(began.Add(o.Delay(f, n))))
		}
		if err := n.start(); err != nil {
			f.Close()
			return nil, err
		}
		f.wg.Add(1)
		go func() { defer f.wg.Done(); n.watch() }()
		if o.Started != nil {
			o.Started(f, n)
		}
	}
	return f, nil
}

// startOrder returns all machines in the order of their starts.
func (f *Fleet) startOrder() []*Node {
	all := append(append([]*Node{}, f.Cores...), f.Fronts...)
	if f.opts.Delay != nil {
		slices.SortStableFunc(all, func(a, b *Node) int { return int(f.opts.Delay(f, a) - f.opts.Delay(f, b)) })
	}
	return all
}

// Kill kills the process. The platform starts it again after a short delay.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = true
	n.f.opts.Record.Add("platform", "kills %s, %d ms after its start", n.Name, time.Since(n.startedAt).Milliseconds())
	_ = n.cmd.Process.Kill()
}

// Control returns the address of a core machine for workers and the operator.
func (f *Fleet) Control(n *Node) string { return net.JoinHostPort(n.IP, strconv.Itoa(f.controlPort)) }

// Front returns the address of a front for clients.
func (n *Node) Front() string { return net.JoinHostPort(n.IP, strconv.Itoa(n.f.frontPort)) }

// Ready returns the address at which the platform asks whether a front is ready.
func (n *Node) Ready() string { return net.JoinHostPort(n.IP, strconv.Itoa(n.f.readyPort)) }

// settings returns the settings file of a machine.
func (n *Node) settings() string {
	f := n.f
	lines := []string{"NodeName=" + n.Name, "Ip=" + n.IP, "Zone=" + n.zone, "Region=sk-west"}
	for _, z := range zones {
		lines = append(lines, "Zones."+z+"=sk-west")
	}
	if n.front {
		lines = append(lines, "Role=gateway", "MachineClass=front", "Serves=front", "Listen.Front="+n.Front(), "Listen.Ready="+n.Ready(),
			"LossCounts=false", "Limits.CpuShare=0.4", fmt.Sprintf("Limits.MemoryMb=%d", MemoryMB), "Limits.MaxFds=4100", "Limits.DiskMb=0")
	} else {
		lines = append(lines, "Role=directory", "MachineClass=core", "Serves=control", "Listen.Control="+f.Control(n), "DataDir="+filepath.Join(n.dir, "data"),
			"LossCounts=true", "Limits.CpuShare=0.96", "Limits.MemoryMb=280", "Limits.MaxFds=4096", "Limits.DiskMb=128")
	}
	lines = append(lines, "Limits.Cores=1", "Limits.LinkMbps=1000.0", fmt.Sprintf("PortRange=%d,%d", f.low, f.low+15), "Seeds="+strings.Join(f.Seeds, ","),
		fmt.Sprintf("Bootstrap=%t", n.first), "Discovery=registry", "Entry=vip", "HeartbeatMs=1200", "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0", "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2",
		fmt.Sprintf("Bounds.ContactMs=%d", ContactMs), "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000", fmt.Sprintf("Bounds.GraceS=%d", GraceS),
		"Bounds.LossSlackMs=200", "Bounds.ConfigMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.RevokePartitioned=false",
		"Bounds.RevokeMs=5000", "Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.BudgetExtra=58", "Bounds.RecoveryS=12", "Bounds.PassMs=120",
		"Bounds.RetryAfterS=9", "Bounds.QuotaWindowS=4", "ConfigMode=highest")
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the settings of the moment.
func (n *Node) start() error {
	path := filepath.Join(n.dir, "node.conf")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	role := "directory"
	if n.front {
		role = "gateway"
	}
	words := strings.Fields(n.f.opts.Command[role])
	cmd := exec.Command(filepath.Join(n.f.opts.Root, words[0]), words[1:]...)
	cmd.Dir = n.f.opts.Root
	cmd.Env = []string{platform.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	first := n.first
	n.cmd, n.exited, n.first, n.startedAt = cmd, exited, false, time.Now()
	n.f.opts.Record.Add("platform", "starts %s, process %d, Bootstrap=%t", n.Name, cmd.Process.Pid, first)
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// watch is the platform's part: it kills a front that goes over its memory and starts a process again
// that has ended by itself, after a short delay.
func (n *Node) watch() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		n.mu.Lock()
		cmd, exited, stopping := n.cmd, n.exited, n.stopping
		n.mu.Unlock()
		select {
		case <-n.f.stop:
			return
		case <-exited:
			if stopping {
				return
			}
			n.noteEnd(cmd)
			select {
			case <-time.After(500 * time.Millisecond):
			case <-n.f.stop:
				return
			}
			if err := n.start(); err != nil {
				n.f.opts.Record.Add("platform", "cannot start %s: %v", n.Name, err)
				return
			}
		case <-tick.C:
			mb := anonymousMB(cmd.Process.Pid)
			n.mu.Lock()
			n.PeakMB = max(n.PeakMB, mb)
			n.mu.Unlock()
			if n.front && n.f.opts.EnforceMemory && mb > MemoryMB {
				n.f.opts.Record.Add("platform", "%s uses %d MB of %d: killed", n.Name, mb, MemoryMB)
				_ = cmd.Process.Kill()
				<-exited
			}
		}
	}
}

// noteEnd records that the process has ended.
func (n *Node) noteEnd(cmd *exec.Cmd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asked {
		n.asked = false
		return
	}
	n.OwnEnds = append(n.OwnEnds, time.Now())
	n.f.opts.Record.Add("platform", "%s has ended by itself: %v", n.Name, cmd.ProcessState)
}

// anonymousMB returns the anonymous resident memory of a process in MB, 0 if it has ended. Pages of files
// are left out, so that this is less than what the platform may count.
func anonymousMB(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for s := bufio.NewScanner(file); s.Scan(); {
		if rest, found := strings.CutPrefix(s.Text(), "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// Ends returns how often the process has ended by itself, and the peak of its memory.
func (n *Node) Ends() (ends []time.Time, peakMB int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]time.Time{}, n.OwnEnds...), n.PeakMB
}

// StartedAt returns when the running process was started.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// Close ends all processes and removes the folder.
func (f *Fleet) Close() {
	close(f.stop)
	f.wg.Wait()
	for _, n := range append(append([]*Node{}, f.Cores...), f.Fronts...) {
		n.mu.Lock()
		cmd, exited := n.cmd, n.exited
		n.stopping = true
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}
