// SPDX-License-Identifier: MIT

// Package demo demonstrates the whole system in one process, on free loopback
// ports: stand-ins of the platform and of Caroni's backend servers, several
// instances, load, a shift, a drain, an outage of the platform, and the planned
// stop and the crash of an instance. It ends with a table of the results.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/caller"
	"shalewick/load"
	"shalewick/operator"
	"shalewick/process/entry"
	"shalewick/process/platform"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
	standplatform "shalewick/standin/platform"
	"shalewick/version"
)

const (
	instanceCount = 6
	loadDuration  = 20 * time.Second
	requestRate   = 400
	readyTimeout  = 10 * time.Second
	workTime      = 4 * time.Millisecond
)

// scenario holds the stand-ins and instances of the demonstration.
type scenario struct {
	size           fleet.Spec
	platform       *standplatform.Server
	backends       []*backend.Server
	addresses      []netip.AddrPort
	ports          fleet.Ports
	instances      []*entry.Entry
	frontAddresses []string
	adminAddresses []string
	out            io.Writer
	startedAt      time.Time
	shiftInForceAt time.Time // when the shift came into force everywhere
}

// Run runs the demonstration. It returns an error if a guarantee was violated.
func Run(ctx context.Context, out io.Writer) error {
	s := &scenario{size: fleet.Caroni(), platform: &standplatform.Server{}, out: out, startedAt: time.Now()}
	if err := s.start(); err != nil {
		return err
	}
	op := operator.New(s.adminAddresses)
	if err := s.configure(ctx, op); err != nil {
		return err
	}
	var outcomes []load.Outcome
	var loadErr error
	var wg sync.WaitGroup
	mix := s.mix()
	wg.Go(func() {
		outcomes, loadErr = load.Run(ctx, load.Options{Clients: s.clients(), Rate: requestRate, Duration: loadDuration, Mix: mix})
	})
	timings, err := s.runSteps(ctx, op)
	wg.Wait()
	if err != nil {
		return err
	}
	if loadErr != nil {
		return loadErr
	}
	return s.printReport(mix, outcomes, timings)
}

func (s *scenario) logf(format string, args ...any) {
	fmt.Fprintf(s.out, "%6.2fs  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts a server on a free port and returns its address.
func serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *scenario) start() error {
	base, err := serve(s.platform.Handler())
	if err != nil {
		return err
	}
	for i := range s.size.Backends() {
		server := &backend.Server{Name: s.size.BackendName(i), Slots: s.size.Slots, MeanWork: workTime}
		if i%2 == 1 {
			server.MeanWork = 3 * workTime // old hardware
		}
		a, err := serve(server.Handler())
		if err != nil {
			return err
		}
		s.backends = append(s.backends, server)
		s.addresses = append(s.addresses, a)
	}
	s.registerInstances(instanceCount)
	for i := range instanceCount {
		if err := s.startInstance(i, "http://"+base.String()); err != nil {
			return err
		}
	}
	s.logf("%d instances, %d backend servers, 1 platform", instanceCount, len(s.backends))
	return nil
}

func (s *scenario) registerInstances(n int) {
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{Name: instanceName(i), State: platform.StateLive})
	}
	s.platform.SetInstances(list)
}

func instanceName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *scenario) startInstance(i int, base string) error {
	ports, err := s.ports.Allocate(3)
	if err != nil {
		return err
	}
	front, admin := ports[0].String(), ports[2].String()
	e, err := entry.Start(entry.Settings{
		Instance: instanceName(i), Hall: s.size.HallOf(i), Front: front, Peer: ports[1].String(), Admin: admin,
		Platform: base, Grace: entry.DefaultGrace, LogLevel: "error",
	}, io.Discard)
	if err != nil {
		return err
	}
	s.instances = append(s.instances, e)
	s.frontAddresses = append(s.frontAddresses, front)
	s.adminAddresses = append(s.adminAddresses, admin)
	return nil
}

func (s *scenario) configure(ctx context.Context, op *operator.Client) error {
	start := time.Now()
	for _, e := range s.instances {
		for !e.Ready() {
			if time.Since(start) > readyTimeout {
				return errors.New("an instance did not become ready")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	start = time.Now()
	if err := s.apply(ctx, op, s.size.Resources(s.addresses)...); err != nil {
		return err
	}
	s.logf("configuration in force at all instances after %d ms", time.Since(start).Milliseconds())
	return nil
}

func (s *scenario) apply(ctx context.Context, op *operator.Client, rs ...version.Resource) error {
	applied, err := op.Apply(ctx, rs)
	if err != nil {
		return err
	}
	_, err = op.WaitInForce(ctx, applied.Version, readyTimeout)
	return err
}

func (s *scenario) mix() []load.Kind {
	size := &s.size
	return []load.Kind{
		{Name: "read", Service: size.ReadService, Method: "GET", Path: "/lots", Weight: 80, ResponseSize: 4096, Timeout: 3 * time.Second},
		{Name: "commit", Service: size.LedgerService, Method: "POST", Path: "/bids", Weight: 15, AtMostOnce: true, BodySize: 200, ResponseSize: 200, Timeout: 5 * time.Second},
		{Name: "upload", Service: size.UploadService, Method: "POST", Path: "/videos", Weight: 5, BodySize: 300 << 10, ResponseSize: 100, Timeout: 10 * time.Second},
	}
}

// clients returns a client in each hall.
func (s *scenario) clients() []*caller.Client {
	var cs []*caller.Client
	for h := range s.size.Halls() {
		c := caller.New(s.frontAddresses)
		c.Address = s.size.ClientAddress(h)
		cs = append(cs, c)
	}
	return cs
}

// runSteps carries out the steps of the demonstration while the load runs. It
// returns lines that state how long the drain and the planned stop took.
func (s *scenario) runSteps(ctx context.Context, op *operator.Client) (timings []string, err error) {
	time.Sleep(2 * time.Second)
	size := &s.size
	err = s.apply(ctx, op, version.Resource{
		Key: version.Key{Kind: version.KindShift, Name: "evening"},
		Shift: &version.Shift{
			Service: size.ReadService, From: size.Regions[0], To: size.Regions[1], Share: 0.5, Cap: 6, Rate: 60,
			Ramp: version.Duration(2 * time.Second),
		},
	})
	if err != nil {
		return nil, err
	}
	s.shiftInForceAt = time.Now()
	s.logf("shift: half of the reads from %s to %s, at most 6 at once and 60 a second", size.Regions[0], size.Regions[1])
	time.Sleep(3 * time.Second)
	start := time.Now()
	err = s.apply(ctx, op, version.Resource{
		Key:   version.Key{Kind: version.KindDrain, Name: "old-1"},
		Drain: &version.Drain{Backend: size.BackendName(1)},
	})
	if err != nil {
		return nil, err
	}
	last := s.lastStartSince(1, start)
	if err := s.printStatus(ctx, op); err != nil {
		return nil, err
	}
	timings = append(timings, fmt.Sprintf("backend server drained: in force everywhere after %d ms, last request started %d ms after the call",
		time.Since(start).Milliseconds(), max(0, last.Sub(start).Milliseconds())))
	time.Sleep(2 * time.Second)
	s.logf("the platform is down")
	s.platform.SetFault(standplatform.Fault{Down: true})
	s.backends[4].SetFault(backend.Fault{Leaving: true})
	time.Sleep(2 * time.Second)
	s.platform.SetFault(standplatform.Fault{})
	s.logf("the platform is back")
	start = time.Now()
	s.instances[0].Stop(ctx)
	timings = append(timings, fmt.Sprintf("planned stop of an instance took %d ms", time.Since(start).Milliseconds()))
	s.logf("an instance has stopped")
	s.instances[1].Kill()
	s.logf("another instance has crashed")
	return timings, nil
}

// printStatus prints the status as the operators' command does.
func (s *scenario) printStatus(ctx context.Context, op *operator.Client) error {
	st, err := op.Status(ctx)
	if err != nil {
		return err
	}
	rs, err := op.List(ctx, "")
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out)
	operator.PrintSummary(s.out, &st, rs)
	fmt.Fprintln(s.out)
	return nil
}

// lastStartSince returns when a backend server last started a request, or since
// if it started none after that.
func (s *scenario) lastStartSince(i int, since time.Time) time.Time {
	last := since
	for _, r := range s.backends[i].Records() {
		if r.Start.After(last) {
			last = r.Start
		}
	}
	return last
}

func (s *scenario) printReport(mix []load.Kind, outcomes []load.Outcome, timings []string) error {
	var records []backend.Record
	peak, slots, afterLeaving := 0, 0, 0
	for _, server := range s.backends {
		rs := server.Records()
		records = append(records, rs...)
		peak = max(peak, server.Peak())
		slots = max(slots, server.Slots)
		for _, r := range rs {
			if r.Leaving {
				afterLeaving++
			}
		}
	}
	report := load.Verify(mix, outcomes, records)
	fmt.Fprintln(s.out)
	report.Print(s.out)
	for _, d := range timings {
		fmt.Fprintln(s.out, d)
	}
	fmt.Fprintf(s.out, "maximum concurrency at a backend server: %d of %d slots; requests started after a backend server reported that it is leaving: %d\n", peak, slots, afterLeaving)
	concurrent, perSecond := load.CrossRegionPeaks(records, s.shiftInForceAt, s.size.ReadService, s.size.Regions[0], s.size.Regions[1], s.serviceAndRegion)
	fmt.Fprintf(s.out, "shift: maximum concurrency %d of 6, maximum in one second %d of 60\n", concurrent, perSecond)
	if report.Faults() > 0 || peak > slots || concurrent > 6 || perSecond > 60 {
		return errors.New("a guarantee was violated, see above")
	}
	return nil
}

// serviceAndRegion returns the service and the region of the backend server with
// the given name.
func (s *scenario) serviceAndRegion(name string) (service, region string) {
	for i := range s.backends {
		if s.size.BackendName(i) == name {
			return s.size.ServiceOf(i), s.size.Regions[i%len(s.size.Halls())/2]
		}
	}
	return "", ""
}
