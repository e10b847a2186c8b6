// Command review-lab2 runs the scripted cases of the second independent review. It starts the
// project's own programs as separate processes on loopback addresses, with small stand-ins for the
// platform's store, the hosts, the clients and the routers, and judges one rule by what clients and
// hosts have seen.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployments with false health answers, which are longer than those of the others.
const (
	heartbeatInterval = 1200 * time.Millisecond
	contactTime       = 5 * time.Second // contactMs
	drainTime         = 5 * time.Second // drainMs
	flowLifetime      = 60 * time.Second
	graceTime         = 6 * time.Second
	restartDelay      = 500 * time.Millisecond // until the platform starts a killed process again
)

// portSet holds the ports that every machine uses; each machine has an address of its own.
type portSet struct{ packets, app, outbound, ready, control, peer, metrics int }

// lab is one deployment on loopback addresses.
type lab struct {
	root, work  string
	prefix      string // first three numbers of the machines' addresses
	lastHost    int
	ports       portSet
	store       *store
	record      *recorder
	trouble     bool
	idleTimeout time.Duration // idleTimeoutMs of the configuration
	seed        string        // control address of the first balancer

	mutex    sync.Mutex
	machines []*machine
}

// machine is a machine and the process of the system on it.
type machine struct {
	lab       *lab
	name, ip  string
	role      string // balancer or agent
	settings  string
	command   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
	starts    int
}

func newLab(caseFolder string) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "review-lab2-")
	if err != nil {
		return nil, err
	}
	record, err := newRecorder(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, work: work, record: record, trouble: os.Getenv("TROUBLE") != "0", idleTimeout: 15 * time.Second}
	if err := l.choosePorts(); err != nil {
		return nil, err
	}
	l.store, err = newStore()
	return l, err
}

// choosePorts selects an unused loopback network and ports that are free there.
func (l *lab) choosePorts() error {
	for range 50 {
		l.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(8000)
		l.ports = portSet{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}
		free := true
		for port := base; port < base+7 && free; port++ {
			free = portIsFree(fmt.Sprintf("%s.1:%d", l.prefix, port))
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func portIsFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

func (l *lab) nextIP() string {
	l.lastHost++
	return fmt.Sprintf("%s.%d", l.prefix, l.lastHost)
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// addMachine starts a machine with the role. The service is that of an agent, "" for a balancer.
func (l *lab) addMachine(name, role, service string) (*machine, error) {
	m := &machine{lab: l, name: name, ip: l.nextIP(), role: role}
	if l.seed == "" {
		l.seed = at(m.ip, l.ports.control)
	}
	p := l.ports
	text := fmt.Sprintf("node:\n  id: %q\n  region: \"r\"\n  zone: \"a\"\n  data-address: %q\n  control-address: %q\n  ready-address: %q\n  peer-address: %q\n  metrics-address: %q\n",
		name, at(m.ip, p.packets), at(m.ip, p.control), at(m.ip, p.ready), at(m.ip, p.peer), at(m.ip, p.metrics))
	text += fmt.Sprintf("platform:\n  url: %q\npeers:\n  seeds: [%q]\nflows:\n  transport: handshake\n  lifetime: \"%ds\"\n  drain-limit: \"%ds\"\n",
		l.store.url, l.seed, int(flowLifetime.Seconds()), int(graceTime.Seconds()))
	if service != "" {
		text += fmt.Sprintf("backend:\n  service: %q\n  address: %q\n  outbound-address: %q\n  report-interval: \"%dms\"\n",
			service, at(m.ip, p.app), at(m.ip, p.outbound), heartbeatInterval.Milliseconds())
	}
	m.settings = filepath.Join(l.work, name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	l.mutex.Lock()
	l.machines = append(l.machines, m)
	l.mutex.Unlock()
	return m, m.start()
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.starts++
	output, err := os.Create(filepath.Join(m.lab.work, fmt.Sprintf("%s-%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	m.command = exec.Command(filepath.Join(m.lab.root, "target", "burlmill"), m.role, "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.startedAt = time.Now()
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}(m.command, m.ended)
	m.lab.record.add("%s: process started (start %d)", m.name, m.starts)
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(signal syscall.Signal) {
	m.lab.record.add("%s: signal %v", m.name, signal)
	_ = m.command.Process.Signal(signal)
}

// killAndRestart kills the process, and starts it again after the platform's delay.
func (m *machine) killAndRestart(delay time.Duration) error {
	m.signal(syscall.SIGKILL)
	<-m.ended
	time.Sleep(delay)
	return m.start()
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, m := range l.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.work)
	} else {
		fmt.Println("logs of the processes:", l.work)
	}
	l.record.close()
}

// recorder writes the record of a run.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// at returns a time as seconds since the start of the record.
func (r *recorder) at(moment time.Time) float64 { return moment.Sub(r.start).Seconds() }

func (r *recorder) close() { _ = r.file.Close() }
