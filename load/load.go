// SPDX-License-Identifier: MIT

package load

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"shalewick/caller"
	"shalewick/clock"
	"shalewick/request"
	"shalewick/standin/backend"
)

// Kind is one kind of request in the mix.
type Kind struct {
	Name       string // of the line in the report
	Service    string
	Method     string
	Path       string
	Weight     int
	AtMostOnce bool
	// Body and Answer are sizes in bytes.
	BodySize     int
	ResponseSize int
	Timeout      time.Duration
}

// ParseKind reads a kind from "name=value" pairs divided by commas, with the
// names of the fields in lower case.
func ParseKind(text string) (Kind, error) {
	k := Kind{Method: http.MethodGet, Path: "/", Weight: 1, Timeout: caller.DefaultTimeout}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "name":
			k.Name = value
		case "service":
			k.Service = value
		case "method":
			k.Method = value
		case "path":
			k.Path = value
		case "weight":
			k.Weight, err = strconv.Atoi(value)
		case "once":
			k.AtMostOnce, err = strconv.ParseBool(value)
		case "body":
			k.BodySize, err = strconv.Atoi(value)
		case "answer":
			k.ResponseSize, err = strconv.Atoi(value)
		case "timeout":
			k.Timeout, err = time.ParseDuration(value)
		default:
			err = errors.New("no such field")
		}
		if err != nil {
			return k, errors.Annotatef(err, "%q", pair)
		}
	}
	if k.Service == "" || k.Weight < 1 || k.BodySize < 0 || k.ResponseSize < 0 {
		return k, errors.Errorf("%q: service must be set, weight above 0, body and answer not negative", text)
	}
	k.Name = cmp.Or(k.Name, k.Service)
	return k, nil
}

// Options of a run.
type Options struct {
	// Clients send in turn; each stands for many callers in one place.
	Clients  []*caller.Client
	Rate     float64 // requests a second
	Duration time.Duration
	Mix      []Kind
}

// MaxRequests bounds the requests of one run.
const MaxRequests = 2_000_000

// Outcome is how one request ended, as its caller saw it.
type Outcome struct {
	Kind int
	Tag  string
	// Code is request.OK for an answer.
	Code request.Code
	Ran  request.Ran
	// Wrong says what was wrong with an answer.
	Wrong   string
	Due     time.Duration // after the start of the run
	Latency time.Duration // from when it was due
}

// Run sends the load and returns the outcomes. It ends by itself.
func Run(ctx context.Context, o Options) ([]Outcome, error) {
	n := int(o.Rate * o.Duration.Seconds())
	if n <= 0 || n > MaxRequests {
		return nil, errors.Errorf("rate and duration give %d requests; 1 to %d are possible", n, MaxRequests)
	}
	if len(o.Clients) == 0 || len(o.Mix) == 0 {
		return nil, errors.New("there are no clients or no kinds of request")
	}
	run := strconv.FormatUint(rand.Uint64(), 36)
	outcomes := make([]Outcome, n)
	var all sync.WaitGroup
	start := time.Now()
	sent := 0
	for i := range n {
		due := start.Add(time.Duration(float64(i) / o.Rate * float64(time.Second)))
		if !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		sent++
		kind := pickKind(o.Mix)
		tag := fmt.Sprintf("%s-%d;", run, i)
		client := o.Clients[i%len(o.Clients)]
		all.Go(func() {
			out := send(ctx, client, &o.Mix[kind], tag)
			out.Kind = kind
			out.Due = due.Sub(start)
			out.Latency = time.Since(due)
			outcomes[i] = out
		})
	}
	all.Wait()
	return outcomes[:sent], nil
}

func pickKind(mix []Kind) int {
	sum := 0
	for _, k := range mix {
		sum += k.Weight
	}
	at := rand.IntN(max(1, sum))
	for i, k := range mix {
		if at -= k.Weight; at < 0 {
			return i
		}
	}
	return 0
}

func send(ctx context.Context, c *caller.Client, k *Kind, tag string) Outcome {
	body := bytes.Repeat([]byte{tag[0]}, k.BodySize)
	path := k.Path + "?size=" + strconv.Itoa(k.ResponseSize)
	out := Outcome{Tag: tag}
	res, err := c.Do(ctx, &caller.Request{
		Service: k.Service, Method: k.Method, Path: path, Body: body, AtMostOnce: k.AtMostOnce, Timeout: k.Timeout,
		Header: http.Header{backend.HeaderTag: {tag}},
	})
	var refusal *caller.RequestError
	if errors.As(err, &refusal) {
		out.Code, out.Ran = refusal.Code, refusal.Ran
		if out.Code == request.OK {
			out.Code = codeWithoutResponse(refusal.Err)
		}
		return out
	}
	out.Ran = request.RanYes
	out.Wrong = checkResponse(res, tag, body, k.ResponseSize)
	return out
}

// noAnswer returns the code of a request that no instance answered: the client's
// own time ran out while it waited, or a connection failed.
func codeWithoutResponse(err error) request.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return request.DeadlinePassed
	}
	return request.AnswerLost
}

// check compares an answer with what the stand-in must give to the request.
func checkResponse(res *caller.Response, tag string, body []byte, size int) string {
	switch {
	case res.Status != http.StatusOK:
		return fmt.Sprintf("status %d", res.Status)
	case len(res.Body) != max(size, len(tag)):
		return fmt.Sprintf("%d bytes in place of %d", len(res.Body), max(size, len(tag)))
	case !bytes.HasPrefix(res.Body, []byte(tag)):
		return "the answer to another request"
	case res.Header.Get(backend.HeaderSum) != strconv.FormatUint(xxhash.Sum64(body), 16):
		return "another body"
	}
	return ""
}

// Line is the report on one kind of request.
type Line struct {
	Name      string
	Sent      int
	Answered  int
	Refused   map[request.Code]int // by code
	Unknown   int                  // refusals that do not say whether it ran
	Latencies *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Lines []Line
	// Faults of the system; all should be zero.
	Lost        int // answered, but never finished at a backend server
	Doubled     int // may not be repeated, but ran twice
	Mixed       int // a wrong or cut answer
	FalseNotRun int // said not to have run, but ran
	Examples    []string
}

// Faults is the number of broken promises.
func (r *Report) Faults() int { return r.Lost + r.Doubled + r.Mixed + r.FalseNotRun }

// maxLatency is the top of the histograms, in microseconds.
const maxLatencyMicros = 10 * 60 * 1e6

// Judge compares the outcomes with the backend servers' records.
func Verify(mix []Kind, outcomes []Outcome, records []backend.Record) *Report {
	ran, done := make(map[string]int), make(map[string]int)
	for _, rec := range records {
		ran[rec.Tag]++
		if rec.Done {
			done[rec.Tag]++
		}
	}
	r := &Report{}
	for _, k := range mix {
		r.Lines = append(r.Lines, Line{
			Name: k.Name, Refused: make(map[request.Code]int), Latencies: hdrhistogram.New(1, maxLatencyMicros, 3),
		})
	}
	for _, o := range outcomes {
		l := &r.Lines[o.Kind]
		l.Sent++
		if mix[o.Kind].AtMostOnce && ran[o.Tag] > 1 {
			r.addFault(&r.Doubled, "ran %d times: %+v", ran[o.Tag], o)
		}
		if o.Code == request.OK {
			l.Answered++
			_ = l.Latencies.RecordValue(o.Latency.Microseconds()) // out of range can not be
			if o.Wrong != "" {
				r.addFault(&r.Mixed, "%+v", o)
			}
			if done[o.Tag] == 0 {
				r.addFault(&r.Lost, "%+v", o)
			}
			continue
		}
		l.Refused[o.Code]++
		if o.Ran == request.RanUnknown {
			l.Unknown++
		}
		if o.Ran == request.RanNo && ran[o.Tag] > 0 {
			r.addFault(&r.FalseNotRun, "%+v", o)
		}
	}
	return r
}

const maxExamples = 10

func (r *Report) addFault(count *int, format string, args ...any) {
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}
