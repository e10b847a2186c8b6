package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Zone and Region are those of all machines.
const (
	Zone   = "zone-a"
	Region = "region-a"
)

// Ports are alike on all machines; each machine has a loopback address of its own.
const (
	portPackets  = 17001
	portApp      = 17002
	portOutbound = 17003
	portReady    = 17004
	portControl  = 17005
	portPeer     = 17006
	portStore    = 17008
)

// Machine is a machine of the deployment.
type Machine struct {
	Name string
	IP   netip.Addr
}

func (m Machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.IP, port) }

// Network hands out loopback addresses from a /24 whose ports are free.
type Network struct{ next netip.Addr }

// NewNetwork returns a network that no other process uses.
func NewNetwork() (*Network, error) {
	for i := range 200 {
		n := os.Getpid() + 7919*i
		base := netip.AddrFrom4([4]byte{127, byte(16 + n%200), byte(1 + n/200%250), 1})
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(base, portStore).String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		return &Network{next: base}, nil
	}
	return nil, errors.New("no free loopback address")
}

// IP returns the next address.
func (n *Network) IP() netip.Addr {
	ip := n.next
	n.next = n.next.Next()
	return ip
}

// Bounds are the figures of a site file that the programs' settings carry.
type Bounds struct {
	FlowMaxS, GraceS, HeartbeatMs int
}

// System is a deployment: a store, routers, and burlmill's own processes.
type System struct {
	Record  *Record
	Network *Network
	Store   *Store
	Router  *Router
	Bounds  Bounds
	binary  string
	folder  string
	seed    netip.AddrPort
	mutex   sync.Mutex
	running []*Process
	starts  chan func()
}

// NewSystem starts a store and routers. The binary is that of the deploy file's build line.
func NewSystem(record *Record, binary string, bounds Bounds) (*System, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	network, err := NewNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "burlmill-review-")
	if err != nil {
		return nil, err
	}
	s := &System{Record: record, Network: network, Bounds: bounds, binary: binary, folder: folder, starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // Pdeathsig follows the thread that starts a process
		for start := range s.starts {
			start()
		}
	}()
	s.Store, err = StartStore(netip.AddrPortFrom(network.IP(), portStore).String())
	if err != nil {
		return nil, err
	}
	s.Router = &Router{}
	go s.Router.probe()
	return s, nil
}

// Close ends all processes that the system has started, and removes its folder.
func (s *System) Close() {
	s.mutex.Lock()
	running := append([]*Process(nil), s.running...)
	s.mutex.Unlock()
	for _, p := range running {
		p.Signal(syscall.SIGKILL)
		p.Wait()
	}
	s.Store.Close()
	_ = os.RemoveAll(s.folder)
}

// Process is a process of burlmill.
type Process struct {
	Machine
	Role    string
	Service string // of an agent
	system  *System
	command *exec.Cmd
	done    chan struct{}
	log     string
}

// NewMachine returns a new machine.
func (s *System) NewMachine(name string) Machine { return Machine{Name: name, IP: s.Network.IP()} }

// WriteSettings writes the settings file of a process, with the lines of deploy/settings.yaml.
func (s *System) WriteSettings(m Machine, service string) string {
	if !s.seed.IsValid() {
		s.seed = m.at(portControl)
	}
	text := fmt.Sprintf("node:\n  id: %q\n  region: %q\n  zone: %q\n  data-address: %q\n  control-address: %q\n  ready-address: %q\n  peer-address: %q\n  metrics-address: \"%s:9464\"\n",
		m.Name, Region, Zone, m.at(portPackets), m.at(portControl), m.at(portReady), m.at(portPeer), m.IP)
	text += fmt.Sprintf("platform:\n  url: \"http://%s\"\npeers:\n  seeds: [%q]\nflows:\n  transport: handshake\n  lifetime: \"%ds\"\n  drain-limit: \"%ds\"\n",
		s.Store.Address, s.seed, s.Bounds.FlowMaxS, s.Bounds.GraceS)
	if service != "" {
		text += fmt.Sprintf("backend:\n  service: %q\n  address: %q\n  outbound-address: %q\n  report-interval: \"%dms\"\n",
			service, m.at(portApp), m.at(portOutbound), s.Bounds.HeartbeatMs)
	}
	path := filepath.Join(s.folder, m.Name+".yaml")
	_ = os.WriteFile(path, []byte(text), 0o600)
	return path
}

// Start starts a process with the command of the deploy file: "balancer" or "agent". The service is
// that of an agent's host.
func (s *System) Start(role string, m Machine, service string) (*Process, error) {
	settings := s.WriteSettings(m, service)
	logPath := filepath.Join(s.folder, fmt.Sprintf("%s-%d.log", m.Name, time.Now().UnixNano()))
	output, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	command := exec.Command(s.binary, role, "--settings", settings)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.starts <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	p := &Process{Machine: m, Role: role, Service: service, system: s, command: command, done: make(chan struct{}), log: logPath}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		s.Record.Line("%s %s, process %d, has ended: %s", role, m.Name, command.Process.Pid, command.ProcessState)
		close(p.done)
	}()
	s.mutex.Lock()
	s.running = append(s.running, p)
	s.mutex.Unlock()
	s.Record.Line("%s %s starts at %s, process %d", role, m.Name, m.IP, command.Process.Pid)
	if role == "balancer" {
		s.Router.add(m)
	}
	return p, nil
}

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.done:
		return
	default:
	}
	p.system.Record.Line("%s %s gets signal %q", p.Role, p.Name, signal)
	_ = p.command.Process.Signal(signal)
}

// Wait waits for the end of the process.
func (p *Process) Wait() { <-p.done }

// LogLines returns the lines of the process's log that contain one of the words.
func (p *Process) LogLines(words ...string) []string {
	content, _ := os.ReadFile(p.log)
	var found []string
	for _, line := range strings.Split(string(content), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, line)
				break
			}
		}
	}
	return found
}

// AwaitControl waits until the process takes connections at its control address, and reports
// whether that was so within the time.
func (p *Process) AwaitControl(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		connection, err := net.DialTimeout("tcp4", p.at(portControl).String(), 100*time.Millisecond)
		if err == nil {
			_ = connection.Close()
			return true
		}
	}
	return false
}

// Route is a route of the configuration.
type Route struct {
	Name    string
	Address netip.AddrPort
	Service string
	Type    string
}

// PutConfiguration writes a configuration as the operator does.
func (s *System) PutConfiguration(version int, routes []Route, services []string) {
	var routeBodies, serviceBodies []map[string]any
	for _, r := range routes {
		routeBodies = append(routeBodies, map[string]any{"name": r.Name, "host": r.Address.Addr().String(),
			"pathPrefix": fmt.Sprintf("/%d/", r.Address.Port()), "service": r.Service, "type": r.Type, "timeoutMs": 3000,
			"targetLatencyMs": 300, "priority": 1, "maxAttempts": 1})
	}
	for _, name := range services {
		serviceBodies = append(serviceBodies, map[string]any{"name": name, "healthPath": "/health", "maxConns": 2000})
	}
	spec := map[string]any{"version": version, "routes": routeBodies, "services": serviceBodies, "limits": map[string]any{"idleTimeoutMs": 15000}}
	s.Store.Put("config", "main", spec)
	encoded, _ := json.Marshal(routeBodies)
	s.Record.Line("configuration %d is acknowledged: %s", version, encoded)
}

// Router is the platform's routers: they deliver a client's packet to a balancer by a hash of the
// four addresses and ports over those that are in (rendezvous hashing: "steady").
type Router struct {
	mutex     sync.Mutex
	balancers []*routed
}

type routed struct {
	machine Machine
	misses  int
	in      bool
}

func (r *Router) add(m Machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, b := range r.balancers {
		if b.machine == m {
			return
		}
	}
	r.balancers = append(r.balancers, &routed{machine: m})
}

// probe asks each balancer twice a second whether it is ready. Two misses take it out.
func (r *Router) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mutex.Lock()
		balancers := append([]*routed(nil), r.balancers...)
		r.mutex.Unlock()
		for _, b := range balancers {
			go func() {
				response, err := client.Get(fmt.Sprintf("http://%s/burlmill/ready", b.machine.at(portReady)))
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				r.mutex.Lock()
				defer r.mutex.Unlock()
				if ready {
					b.misses, b.in = 0, true
					return
				}
				b.misses++
				b.in = b.in && b.misses < 2
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// Ready returns how many balancers are in.
func (r *Router) Ready() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, b := range r.balancers {
		if b.in {
			count++
		}
	}
	return count
}

// Target returns the name of the balancer that the flow's packets go to now.
func (r *Router) Target(client, route netip.AddrPort) string { return r.choose(client, route).Name }

func (r *Router) pick(client, route netip.AddrPort) netip.AddrPort {
	return r.choose(client, route).at(portPackets)
}

func (r *Router) choose(client, route netip.AddrPort) Machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	anyIn := false
	for _, b := range r.balancers {
		anyIn = anyIn || b.in
	}
	var best Machine
	bestRank := uint64(0)
	for _, b := range r.balancers {
		if anyIn && !b.in {
			continue
		}
		hash := fnv.New64a()
		fmt.Fprint(hash, client, route, b.machine.IP)
		if rank := hash.Sum64(); rank >= bestRank {
			best, bestRank = b.machine, rank
		}
	}
	return best
}

// Await waits until the condition holds, and reports whether it did within the time.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
