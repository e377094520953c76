// SPDX-License-Identifier: MIT

// Package demo shows the whole system in one process, on loopback ports that
// are free: stand-ins of the platform and of Caroni's backend servers, several
// entries, load, a shift, drains, and the planned stop and the death of an
// entry, with a short table at the end.
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

// world is the stand-ins and entries of the demonstration.
type scenario struct {
	size           fleet.Size
	platform       *standplatform.Server
	backends       []*backend.Server
	addresses      []netip.AddrPort
	ports          fleet.Ports
	instances      []*entry.Entry
	frontAddresses []string
	adminAddresses []string
	out            io.Writer
	startedAt      time.Time
	shiftInForceAt time.Time // when the shift was in force everywhere
}

// Run runs the demonstration and returns an error if a promise was broken.
func Run(ctx context.Context, out io.Writer) error {
	w := &scenario{size: fleet.Caroni(), platform: &standplatform.Server{}, out: out, startedAt: time.Now()}
	if err := w.start(); err != nil {
		return err
	}
	op := operator.New(w.adminAddresses)
	if err := w.configure(ctx, op); err != nil {
		return err
	}
	var outcomes []load.Outcome
	var loadErr error
	var running sync.WaitGroup
	mix := w.mix()
	running.Go(func() {
		outcomes, loadErr = load.Run(ctx, load.Options{Clients: w.clients(), Rate: requestRate, Duration: loadDuration, Mix: mix})
	})
	drained, err := w.runSteps(ctx, op)
	running.Wait()
	if err != nil {
		return err
	}
	if loadErr != nil {
		return loadErr
	}
	return w.printReport(mix, outcomes, drained)
}

func (w *scenario) logf(format string, args ...any) {
	fmt.Fprintf(w.out, "%6.2fs  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts a server on a free port.
func serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (w *scenario) start() error {
	base, err := serve(w.platform.Handler())
	if err != nil {
		return err
	}
	for i := range w.size.Backends() {
		u := &backend.Server{Name: w.size.BackendName(i), Slots: w.size.Slots, Work: workTime}
		if i%2 == 1 {
			u.Work = 3 * workTime // old hardware
		}
		a, err := serve(u.Handler())
		if err != nil {
			return err
		}
		w.backends = append(w.backends, u)
		w.addresses = append(w.addresses, a)
	}
	w.registerInstances(instanceCount)
	for i := range instanceCount {
		if err := w.startInstance(i, "http://"+base.String()); err != nil {
			return err
		}
	}
	w.logf("%d entries, %d backend servers, 1 platform", instanceCount, len(w.backends))
	return nil
}

func (w *scenario) registerInstances(n int) {
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{Name: instanceName(i), State: platform.Live})
	}
	w.platform.SetInstances(list)
}

func instanceName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (w *scenario) startInstance(i int, base string) error {
	ports, err := w.ports.Take(3)
	if err != nil {
		return err
	}
	front, admin := ports[0].String(), ports[2].String()
	e, err := entry.Start(entry.Settings{
		Instance: instanceName(i), Hall: w.size.Hall(i), Front: front, Peer: ports[1].String(), Admin: admin,
		Platform: base, Grace: entry.DefaultGrace, LogLevel: "error",
	}, io.Discard)
	if err != nil {
		return err
	}
	w.instances = append(w.instances, e)
	w.frontAddresses = append(w.frontAddresses, front)
	w.adminAddresses = append(w.adminAddresses, admin)
	return nil
}

func (w *scenario) configure(ctx context.Context, op *operator.Client) error {
	start := time.Now()
	for _, e := range w.instances {
		for !e.Ready() {
			if time.Since(start) > readyTimeout {
				return errors.New("an entry did not become ready")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	start = time.Now()
	if err := w.apply(ctx, op, w.size.Resources(w.addresses)...); err != nil {
		return err
	}
	w.logf("configuration in force at all entries after %d ms", time.Since(start).Milliseconds())
	return nil
}

func (w *scenario) apply(ctx context.Context, op *operator.Client, rs ...version.Resource) error {
	applied, err := op.Apply(ctx, rs)
	if err != nil {
		return err
	}
	_, err = op.WaitInForce(ctx, applied.Version, readyTimeout)
	return err
}

func (w *scenario) mix() []load.Kind {
	s := &w.size
	return []load.Kind{
		{Name: "read", Service: s.Read, Method: "GET", Path: "/lots", Weight: 80, ResponseSize: 4096, Timeout: 3 * time.Second},
		{Name: "commit", Service: s.Ledger, Method: "POST", Path: "/bids", Weight: 15, AtMostOnce: true, BodySize: 200, ResponseSize: 200, Timeout: 5 * time.Second},
		{Name: "upload", Service: s.Upload, Method: "POST", Path: "/videos", Weight: 5, BodySize: 300 << 10, ResponseSize: 100, Timeout: 10 * time.Second},
	}
}

// clients returns callers in each hall.
func (w *scenario) clients() []*caller.Client {
	var cs []*caller.Client
	for h := range w.size.Halls() {
		c := caller.New(w.frontAddresses)
		c.Address = w.size.Client(h)
		cs = append(cs, c)
	}
	return cs
}

// script is what happens while the load runs. It returns the drain time of
// the backend server and of the entry.
func (w *scenario) runSteps(ctx context.Context, op *operator.Client) (drained []string, err error) {
	time.Sleep(2 * time.Second)
	s := &w.size
	err = w.apply(ctx, op, version.Resource{
		Key: version.Key{Kind: version.KindShift, Name: "evening"},
		Shift: &version.Shift{
			Service: s.Read, From: s.Regions[0], To: s.Regions[1], Share: 0.5, Cap: 6, Rate: 60,
			Ramp: version.Duration(2 * time.Second),
		},
	})
	if err != nil {
		return nil, err
	}
	w.shiftInForceAt = time.Now()
	w.logf("shift: half of the reads from %s to %s, at most 6 at once and 60 a second", s.Regions[0], s.Regions[1])
	time.Sleep(3 * time.Second)
	start := time.Now()
	err = w.apply(ctx, op, version.Resource{
		Key:   version.Key{Kind: version.KindDrain, Name: "old-1"},
		Drain: &version.Drain{Backend: s.BackendName(1)},
	})
	if err != nil {
		return nil, err
	}
	last := w.lastStartSince(1, start)
	if err := w.printStatus(ctx, op); err != nil {
		return nil, err
	}
	drained = append(drained, fmt.Sprintf("backend server drained: in force everywhere after %d ms, last work began %d ms after the call",
		time.Since(start).Milliseconds(), max(0, last.Sub(start).Milliseconds())))
	time.Sleep(2 * time.Second)
	w.logf("the platform is down")
	w.platform.SetFault(standplatform.Fault{Down: true})
	w.backends[4].SetFault(backend.Fault{Leaving: true})
	time.Sleep(2 * time.Second)
	w.platform.SetFault(standplatform.Fault{})
	w.logf("the platform is back")
	start = time.Now()
	w.instances[0].Stop(ctx)
	drained = append(drained, fmt.Sprintf("entry stopped as planned after %d ms", time.Since(start).Milliseconds()))
	w.logf("an entry has stopped")
	w.instances[1].Kill()
	w.logf("another entry has died")
	return drained, nil
}

// show prints the status as operators see it.
func (w *scenario) printStatus(ctx context.Context, op *operator.Client) error {
	st, err := op.Status(ctx)
	if err != nil {
		return err
	}
	rs, err := op.List(ctx, "")
	if err != nil {
		return err
	}
	fmt.Fprintln(w.out)
	operator.PrintSummary(w.out, &st, rs)
	fmt.Fprintln(w.out)
	return nil
}

// lastStart returns when a backend server last began work, at least since.
func (w *scenario) lastStartSince(i int, since time.Time) time.Time {
	last := since
	for _, r := range w.backends[i].Records() {
		if r.Start.After(last) {
			last = r.Start
		}
	}
	return last
}

func (w *scenario) printReport(mix []load.Kind, outcomes []load.Outcome, drained []string) error {
	var records []backend.Record
	peak, slots, afterLeaving := 0, 0, 0
	for _, u := range w.backends {
		rs := u.Records()
		records = append(records, rs...)
		peak = max(peak, u.Peak())
		slots = max(slots, u.Slots)
		for _, r := range rs {
			if r.Leaving {
				afterLeaving++
			}
		}
	}
	rep := load.Verify(mix, outcomes, records)
	fmt.Fprintln(w.out)
	rep.Print(w.out)
	for _, d := range drained {
		fmt.Fprintln(w.out, d)
	}
	fmt.Fprintf(w.out, "most at once at any backend server: %d of %d slots; begun after a backend server's own word of leaving: %d\n", peak, slots, afterLeaving)
	atOnce, second := load.CrossRegionPeaks(records, w.shiftInForceAt, w.size.Read, w.size.Regions[0], w.size.Regions[1], w.serviceAndRegion)
	fmt.Fprintf(w.out, "shift: most at once %d of 6, most in any one second %d of 60\n", atOnce, second)
	if rep.Faults() > 0 || peak > slots || atOnce > 6 || second > 60 {
		return errors.New("a promise was broken, see above")
	}
	return nil
}

// regionOf returns service and region of a backend server by its name.
func (w *scenario) serviceAndRegion(name string) (service, region string) {
	for i := range w.backends {
		if w.size.BackendName(i) == name {
			return w.size.ServiceOf(i), w.size.Regions[i%len(w.size.Halls())/2]
		}
	}
	return "", ""
}
