//go:build review

// SPDX-License-Identifier: Apache-2.0

package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a worker in a process of its own.
type Worker struct {
	ID, Address, Service string
	cmd                  *exec.Cmd
	in                   io.WriteCloser
}

// WorkerSettings are the settings of a worker's process.
type WorkerSettings struct {
	ID, Address, Service, Zone string
	Controls                   []string
	Slots                      int
	Work                       time.Duration
}

// workerFlag is the first argument of a worker's process.
const workerFlag = "worker"

// StartWorker starts a worker. onRun is called for each line that it writes: "begin ID", "end ID" and others.
func (s *Stage) StartWorker(w WorkerSettings, onLine func(worker, line string)) (*Worker, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	settings, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, workerFlag, string(settings))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := s.start(cmd); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			onLine(w.ID, lines.Text())
		}
		_ = cmd.Wait()
	}()
	return &Worker{ID: w.ID, Address: w.Address, Service: w.Service, cmd: cmd, in: in}, nil
}

// Kill crashes the worker.
func (w *Worker) Kill() { _ = w.cmd.Process.Kill() }

// Tell sends a command to the worker.
func (w *Worker) Tell(command string) { fmt.Fprintln(w.in, command) }

// RunAsWorker runs this process as a worker if its arguments say so. It does not return then.
func RunAsWorker() {
	if len(os.Args) != 3 || os.Args[1] != workerFlag {
		return
	}
	var w WorkerSettings
	if err := json.Unmarshal([]byte(os.Args[2]), &w); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	(&workerProcess{WorkerSettings: w, slots: make(chan struct{}, w.Slots)}).run()
	os.Exit(0)
}

// workerProcess is a worker that works for a fixed time on each request.
type workerProcess struct {
	WorkerSettings
	slots   chan struct{}
	seq     int
	state   atomic.Value // of the heartbeats
	refuse  atomic.Int64 // requests that are still to be refused as by a full worker
	doubled atomic.Int64 // 1 if the refusal of the last of them is to be sent a second time

	out sync.Mutex // guards standard output
}

func (w *workerProcess) say(format string, args ...any) {
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (w *workerProcess) run() {
	l, err := net.Listen("tcp", w.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.state.Store("ready")
	left := make(chan struct{})
	go w.beat(left)
	go w.obey(left)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// obey carries out the commands of the run: "leave", and "refuse N D", which has the next N requests refused, as by a full
// worker, and the refusal of the last one sent a second time if D is 1.
func (w *workerProcess) obey(left chan struct{}) {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		switch words[0] {
		case "leave":
			close(left)
		case "refuse":
			n, _ := strconv.Atoi(words[1])
			doubled, _ := strconv.Atoi(words[2])
			w.doubled.Store(int64(doubled))
			w.refuse.Store(int64(n))
		}
	}
}

// beat announces the worker, and takes it away once it is told to leave: it says "draining" until that is acknowledged,
// goes on for DrainMs and a little longer, sends the DELETE and ends.
func (w *workerProcess) beat(left chan struct{}) {
	at := 0
	address := ""
	send := func(method string, body []byte) bool {
		for range 2 * len(w.Controls) {
			target := address
			if target == "" {
				target = w.Controls[at%len(w.Controls)]
				at++
			}
			status, answer, err := callOnce(method, target, "/instances/"+w.ID, body)
			if err == nil && status/100 == 2 {
				var named struct{ BeatAddr string }
				if json.Unmarshal(answer, &named) == nil && named.BeatAddr != "" {
					address = named.BeatAddr
				}
				return true
			}
			address = ""
			time.Sleep(50 * time.Millisecond)
		}
		return false
	}
	announce := func(state string) bool {
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"Service": w.Service, "Addr": w.Address, "Zone": w.Zone, "Version": "v1", "Slots": w.Slots, "State": state,
			"ColdLeftMs": 0, "Stage": "mixed", "Models": []any{}, "Seq": w.seq,
		})
		return send(http.MethodPut, body)
	}
	t := time.NewTicker(1200 * time.Millisecond)
	announce("ready")
	for {
		select {
		case <-t.C:
			announce("ready")
			continue
		case <-left:
		}
		break
	}
	for !announce("draining") {
	}
	w.say("draining acknowledged")
	time.Sleep(2500 * time.Millisecond)
	send(http.MethodDelete, nil)
	w.say("left")
	os.Exit(0)
}

// serve serves one connection, one request at a time.
func (w *workerProcess) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		w.say("request %s %s %s on %s", id, req.Method, req.RequestURI, c.RemoteAddr())
		if !w.answer(c, r, req, id, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (w *workerProcess) answer(c net.Conn, r *bufio.Reader, req *http.Request, id string, body []byte) bool {
	own := fmt.Sprintf("X-Request-Id: %s\r\nX-Instance-Id: %s\r\n", id, w.ID)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		w.say("misdirected %s", id)
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+own+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + own + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	if w.refuse.Load() > 0 && req.Method != http.MethodGet {
		last := w.refuse.Add(-1) == 0
		w.say("refuse %s", id)
		if _, err := io.WriteString(c, refusal); err != nil {
			return false
		}
		if last && w.doubled.Swap(0) > 0 {
			// The surplus answer arrives late, in the place of the next one: once the next request is there.
			if _, err := r.Peek(1); err != nil {
				return false
			}
			w.say("surplus answer to %s", id)
			_, err := io.WriteString(c, refusal)
			return err == nil
		}
		return true
	}
	select {
	case w.slots <- struct{}{}:
	default:
		w.say("full %s", id)
		_, err := io.WriteString(c, refusal)
		return err == nil
	}
	defer func() { <-w.slots }()
	w.say("begin %s", id)
	time.Sleep(w.Work)
	w.say("end %s", id)
	content := fmt.Appendf(nil, "done %s %s %d", req.Method, req.RequestURI, len(body))
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\n%sX-Server-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", own, w.ID, id, len(content))
	answer.Write(content)
	_, err := c.Write(answer.Bytes())
	return err == nil
}
