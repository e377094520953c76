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

// Kind describes one kind of request in the mix.
type Kind struct {
	Name       string // shown in the report
	Service    string
	Method     string
	Path       string
	Weight     int
	AtMostOnce bool
	// Sizes are in bytes.
	BodySize     int
	ResponseSize int
	Timeout      time.Duration
}

// ParseKind parses a kind from comma-separated "name=value" pairs with the names
// name, service, method, path, weight, once, body, answer and timeout.
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
			err = errors.New("unknown field")
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

// String formats the kind as ParseKind parses it.
func (k Kind) String() string {
	return fmt.Sprintf("name=%s,service=%s,method=%s,path=%s,weight=%d,once=%t,body=%d,answer=%d,timeout=%s",
		k.Name, k.Service, k.Method, k.Path, k.Weight, k.AtMostOnce, k.BodySize, k.ResponseSize, k.Timeout)
}

// Options configures a run.
type Options struct {
	// Clients are used in turn; each represents many callers at one location.
	Clients  []*caller.Client
	Rate     float64 // requests per second
	Duration time.Duration
	Mix      []Kind
}

// MaxRequests limits the number of requests in a run.
const MaxRequests = 2_000_000

// Outcome describes how a request ended for its caller.
type Outcome struct {
	Kind int    // index into the mix
	Tag  string // identifies the request in the records
	// Code is request.OK if there was a response.
	Code request.Code
	Ran  request.Ran
	// Wrong describes what was wrong with the response; "" if nothing was.
	Wrong string
	// TimedOut reports that the client's own timeout passed without a response of an
	// instance.
	TimedOut bool
	Due      time.Duration // since the start of the run
	Sent     time.Duration // since the start of the run; later than Due if the generator is late
	Latency  time.Duration // since Due
}

// Run sends the requests and returns their outcomes once all have ended. It stops
// sending when the context ends.
func Run(ctx context.Context, o Options) ([]Outcome, error) {
	n := int(o.Rate * o.Duration.Seconds())
	if n <= 0 || n > MaxRequests {
		return nil, errors.Errorf("rate and duration give %d requests; 1 to %d are possible", n, MaxRequests)
	}
	if len(o.Clients) == 0 || len(o.Mix) == 0 {
		return nil, errors.New("no clients or no kinds of request configured")
	}
	run := strconv.FormatUint(rand.Uint64(), 36)
	outcomes := make([]Outcome, n)
	var wg sync.WaitGroup
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
		wg.Go(func() {
			sentAt := time.Since(start)
			out := send(ctx, client, &o.Mix[kind], tag)
			out.Kind = kind
			out.Due = due.Sub(start)
			out.Sent = sentAt
			out.Latency = time.Since(due)
			outcomes[i] = out
		})
	}
	wg.Wait()
	return outcomes[:sent], nil
}

// pickKind returns the index of a random kind, chosen by weight.
func pickKind(mix []Kind) int {
	sum := 0
	for _, k := range mix {
		sum += k.Weight
	}
	n := rand.IntN(max(1, sum))
	for i, k := range mix {
		if n -= k.Weight; n < 0 {
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
	var reqErr *caller.RequestError
	if errors.As(err, &reqErr) {
		out.Code, out.Ran = reqErr.Code, reqErr.Ran
		if out.Code == request.OK {
			out.Code = codeWithoutResponse(reqErr.Err)
			out.TimedOut = out.Code == request.DeadlinePassed
		}
		return out
	}
	out.Ran = request.RanYes
	out.Wrong = checkResponse(res, tag, body, k.ResponseSize)
	return out
}

// codeWithoutResponse returns the code of a request to which no instance
// responded: the client's own timeout passed, or a connection failed.
func codeWithoutResponse(err error) request.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return request.DeadlinePassed
	}
	return request.AnswerLost
}

// checkResponse compares a response with the one that the stand-in must send, and
// returns a description of the first difference, or "".
func checkResponse(res *caller.Response, tag string, body []byte, size int) string {
	switch {
	case res.Status != http.StatusOK:
		return fmt.Sprintf("status %d", res.Status)
	case len(res.Body) != max(size, len(tag)):
		return fmt.Sprintf("%d bytes instead of %d", len(res.Body), max(size, len(tag)))
	case !bytes.HasPrefix(res.Body, []byte(tag)):
		return "response to another request"
	case res.Header.Get(backend.HeaderSum) != strconv.FormatUint(xxhash.Sum64(body), 16):
		return "checksum of another request body"
	}
	return ""
}

// Line holds the results of one kind of request.
type Line struct {
	Name      string
	Sent      int
	Answered  int
	Refused   map[request.Code]int // by code
	Unknown   int                  // requests without a response that may have run
	TimedOut  int                  // requests to which no instance responded in time
	Latencies *hdrhistogram.Histogram
	// SendDelays is how much later than planned the generator sent the requests, and
	// Overruns how much later than its timeout a request ended. Both are delays of the
	// generator's own process.
	SendDelays *hdrhistogram.Histogram
	Overruns   *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Lines []Line
	// Violations of the system's guarantees; all should be zero.
	Lost        int // answered, but not completed by any backend server
	Doubled     int // must run at most once, but ran more often
	Mixed       int // wrong or truncated response
	FalseNotRun int // reported as not run, but ran
	Examples    []string
}

// Faults returns the number of violated guarantees.
func (r *Report) Faults() int { return r.Lost + r.Doubled + r.Mixed + r.FalseNotRun }

// maxLatencyMicros is the largest latency that the histograms record.
const maxLatencyMicros = 10 * 60 * 1e6

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// Verify compares the outcomes with the records of the backend servers.
func Verify(mix []Kind, outcomes []Outcome, records []backend.Record) *Report {
	ran, done := make(map[string]int), make(map[string]int) // by tag
	for _, rec := range records {
		ran[rec.Tag]++
		if rec.Completed {
			done[rec.Tag]++
		}
	}
	r := &Report{}
	for _, k := range mix {
		r.Lines = append(r.Lines, Line{
			Name: k.Name, Refused: make(map[request.Code]int), Latencies: newLatencies(),
			SendDelays: newLatencies(), Overruns: newLatencies(),
		})
	}
	for _, o := range outcomes {
		l := &r.Lines[o.Kind]
		l.Sent++
		_ = l.SendDelays.RecordValue(max(0, o.Sent-o.Due).Microseconds())
		_ = l.Overruns.RecordValue(max(0, o.Due+o.Latency-o.Sent-mix[o.Kind].Timeout).Microseconds())
		if mix[o.Kind].AtMostOnce && ran[o.Tag] > 1 {
			r.addFault(&r.Doubled, "ran %d times: %+v", ran[o.Tag], o)
		}
		if o.Code == request.OK {
			l.Answered++
			_ = l.Latencies.RecordValue(o.Latency.Microseconds()) // the latency is never out of range
			if o.Wrong != "" {
				r.addFault(&r.Mixed, "%+v", o)
			}
			if done[o.Tag] == 0 {
				r.addFault(&r.Lost, "%+v", o)
			}
			continue
		}
		l.Refused[o.Code]++
		if o.TimedOut {
			l.TimedOut++
		}
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
