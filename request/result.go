// SPDX-License-Identifier: MIT

package request

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code is the number of a result. docs/RESULTS.md lists the codes.
type Code int

// The result codes. They are grouped by tens: 1x the request is at fault, 2x no capacity, 3x the
// instance cannot serve now, 4x a backend server failed, 5x tickets, 6x and 7x operators' calls.
const (
	OK Code = 0

	BadRequest     Code = 10
	UnknownService Code = 11
	UnknownRoute   Code = 12
	TooLarge       Code = 13
	CallerGone     Code = 14
	HeaderTooLarge Code = 15
	BodyLate       Code = 16
	KeyMissing     Code = 17
	KeyUnknown     Code = 18
	Quarantined    Code = 19

	QueueFull    Code = 20
	DeadlineNear Code = 21
	NoBackend    Code = 22
	OverQuota    Code = 23
	MemoryFull   Code = 24

	NoVersion      Code = 30
	Unconfirmed    Code = 31
	Leaving        Code = 32
	KeyUnconfirmed Code = 33

	ConnectFailed  Code = 40
	BackendRefused Code = 41
	AnswerLost     Code = 42
	AnswerWrong    Code = 43
	DeadlinePassed Code = 44

	TicketNeeded  Code = 50
	TicketInvalid Code = 51
	TicketGone    Code = 52
	TicketUsed    Code = 53

	Invalid       Code = 60
	Conflict      Code = 61
	NotFound      Code = 62
	PlatformDown  Code = 63
	CommitUnknown Code = 64
	NotInForce    Code = 65
	TokenMissing  Code = 66
	TokenWrong    Code = 67
	TokenExpired  Code = 68
	Forbidden     Code = 69
	NotCarriedOut Code = 70
)

// Ran states whether a backend server ran a request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Info describes a code.
type Info struct {
	Name   string
	Status int // HTTP status
	Text   string
}

// infos describes each code. docs/RESULTS.md shows the same table.
var infos = map[Code]Info{
	OK:             {"OK", http.StatusOK, "answered by a backend server"},
	BadRequest:     {"BAD_REQUEST", http.StatusBadRequest, "the request could not be read"},
	UnknownService: {"UNKNOWN_SERVICE", http.StatusNotFound, "no service has this name or host"},
	UnknownRoute:   {"UNKNOWN_ROUTE", http.StatusNotFound, "the service has no route for this method and path"},
	TooLarge:       {"TOO_LARGE", http.StatusRequestEntityTooLarge, "the body is larger than the route allows"},
	HeaderTooLarge: {"HEADER_TOO_LARGE", http.StatusRequestHeaderFieldsTooLarge, "the headers are larger than 64 KiB"},
	BodyLate:       {"BODY_LATE", http.StatusRequestTimeout, "the body did not come before the request's deadline"},
	CallerGone:     {"CALLER_GONE", 499, "the caller went away before the answer"},
	KeyMissing:     {"KEY_MISSING", http.StatusUnauthorized, "the request carries no key, and its route is not anonymous"},
	KeyUnknown:     {"KEY_UNKNOWN", http.StatusUnauthorized, "no workspace has the key"},
	Quarantined:    {"QUARANTINED", http.StatusServiceUnavailable, "the request crashed the backend servers that ran it, and is not sent to any until an operator lets it through"},
	QueueFull:      {"QUEUE_FULL", http.StatusServiceUnavailable, "too many requests wait for a slot"},
	DeadlineNear:   {"DEADLINE_NEAR", http.StatusServiceUnavailable, "no slot can be had before the deadline"},
	NoBackend:      {"NO_BACKEND", http.StatusServiceUnavailable, "no backend server of the service takes work"},
	OverQuota:      {"OVER_QUOTA", http.StatusTooManyRequests, "the workspace has used up its rate and burst"},
	MemoryFull:     {"MEMORY_FULL", http.StatusServiceUnavailable, "the instance holds as much of requests and answers as it may"},
	KeyUnconfirmed: {"KEY_UNCONFIRMED", http.StatusServiceUnavailable, "no workspace is known to have the key, and nobody has confirmed the instance's configuration lately"},
	NoVersion:      {"NO_VERSION", http.StatusServiceUnavailable, "the instance has no configuration yet"},
	Unconfirmed:    {"UNCONFIRMED", http.StatusServiceUnavailable, "nobody has confirmed the instance's configuration lately"},
	Leaving:        {"LEAVING", http.StatusServiceUnavailable, "the instance is leaving; use another"},
	ConnectFailed:  {"CONNECT_FAILED", http.StatusBadGateway, "no connection to a backend server could be opened"},
	BackendRefused: {"BACKEND_REFUSED", http.StatusServiceUnavailable, "the backend server refused the request without running it"},
	AnswerLost:     {"ANSWER_LOST", http.StatusBadGateway, "the connection failed before the whole answer came"},
	AnswerWrong:    {"ANSWER_WRONG", http.StatusBadGateway, "the backend server's answer was not to this request"},
	DeadlinePassed: {"DEADLINE_PASSED", http.StatusGatewayTimeout, "no whole answer came before the deadline"},
	TicketNeeded:   {"TICKET_NEEDED", http.StatusPreconditionRequired, "a request that may not be repeated needs a ticket; one is in the header"},
	TicketInvalid:  {"TICKET_INVALID", http.StatusBadRequest, "the ticket was not issued by this system"},
	TicketGone:     {"TICKET_GONE", http.StatusConflict, "the ticket's instance is gone or the ticket is too old; it will never run from now on"},
	TicketUsed:     {"TICKET_USED", http.StatusConflict, "the ticket was used before and the answer is no longer kept"},
	Invalid:        {"INVALID", http.StatusUnprocessableEntity, "a resource breaks a rule"},
	Conflict:       {"CONFLICT", http.StatusConflict, "the resource has changed since"},
	NotFound:       {"NOT_FOUND", http.StatusNotFound, "no such resource"},
	PlatformDown:   {"PLATFORM_DOWN", http.StatusServiceUnavailable, "the platform did not answer; nothing was written"},
	CommitUnknown:  {"COMMIT_UNKNOWN", http.StatusServiceUnavailable, "the platform's answer was lost; ask again with the same operation id"},
	TokenMissing:   {"TOKEN_MISSING", http.StatusUnauthorized, "the call carries no token"},
	TokenWrong:     {"TOKEN_WRONG", http.StatusUnauthorized, "no workspace has the token"},
	TokenExpired:   {"TOKEN_EXPIRED", http.StatusUnauthorized, "the token has expired"},
	Forbidden:      {"FORBIDDEN", http.StatusForbidden, "the resource belongs to another workspace"},
	NotCarriedOut:  {"NOT_CARRIED_OUT", http.StatusNotImplemented, "this role carries out no roll-outs; nothing was written"},
	NotInForce:     {"NOT_IN_FORCE", http.StatusGatewayTimeout, "not every instance has the version in force"},
}

// Info returns the description of the code.
func (c Code) Info() Info {
	return infos[c]
}

// NoCapacity reports whether the code says that there was no capacity for a request, so that it was
// not sent.
func (c Code) NoCapacity() bool {
	return c == QueueFull || c == DeadlineNear || c == NoBackend
}

// Codes returns every code that has a description, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(infos))
	for c := range infos {
		codes = append(codes, c)
	}
	return codes
}

// String returns the number and the name of the code.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), infos[c].Name)
}

// Headers of requests and responses.
const (
	HeaderService   = "Shalewick-Service"    // names the service; takes precedence over Host
	HeaderResult    = "Shalewick-Result"     // number and name of the result
	HeaderRan       = "Shalewick-Ran"        // no, yes or unknown
	HeaderRetry     = "Shalewick-Retry-Ms"   // when to retry, in milliseconds
	HeaderDeadline  = "Shalewick-Timeout-Ms" // time left, in milliseconds
	HeaderID        = "Shalewick-Request-Id" // echoed by backend servers
	HeaderTicket    = "Shalewick-Ticket"     // ticket of a request that may not be repeated
	HeaderOnce      = "Shalewick-Once"       // "true": treat the request as not repeatable
	HeaderForwarded = "Shalewick-Forwarded"  // names the instance that forwards a request
	HeaderRegion    = "Shalewick-Region"     // region of the instance that sent it
	HeaderNotRun    = "Shalewick-Not-Run"    // "true" in a backend server's refusal: the request was not run
	HeaderState     = "Shalewick-State"      // state reported by the backend server: ready, cold or leaving
	HeaderBoot      = "Shalewick-Boot"       // identifies one start of a backend server
	HeaderBackend   = "Shalewick-Backend"    // which backend server answered
	HeaderOperation = "Shalewick-Operation"  // identifies an operator's call
)

// Result ends a request that is not answered by a backend server.
type Result struct {
	Code   Code          `json:"code"`
	Name   string        `json:"name"`
	Ran    Ran           `json:"ran"`
	Retry  time.Duration `json:"-"` // when to retry; zero if retrying is of no use
	Detail string        `json:"detail,omitempty"`
}

// NotRun returns a result that guarantees that the request was not run.
func NotRun(c Code, retry time.Duration) Result {
	return Result{Code: c, Ran: RanNo, Retry: retry}
}

// Unknown returns a result for a request that may have been run.
func Unknown(c Code) Result {
	return Result{Code: c, Ran: RanUnknown}
}

// Error implements the error interface.
func (r Result) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", r.Code, r.Detail, r.Ran)
}

// resultBody is the JSON form of a Result.
type resultBody struct {
	Result
	Text    string `json:"text"`
	RetryMs int64  `json:"retryMs,omitempty"`
}

// Write responds with the result, in headers and a JSON body.
func (r Result) Write(w http.ResponseWriter) {
	info := r.Code.Info()
	r.Name = info.Name
	h := w.Header()
	h.Set(HeaderResult, r.Code.String())
	h.Set(HeaderRan, string(r.Ran))
	if r.Retry > 0 {
		h.Set(HeaderRetry, strconv.FormatInt(r.Retry.Milliseconds(), 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.Retry.Seconds()))))
	}
	b, err := json.Marshal(resultBody{Result: r, Text: info.Text, RetryMs: r.Retry.Milliseconds()})
	if err != nil {
		b = []byte("{}")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(info.Status)
	_, _ = w.Write(b) // an error means that the caller has disconnected
}

// FromHeader parses the result in the headers of a response. It returns false for a response of a
// backend server.
func FromHeader(h http.Header) (Result, bool) {
	text := h.Get(HeaderResult)
	if text == "" {
		return Result{}, false
	}
	var r Result
	var code int
	if _, err := fmt.Sscanf(text, "%d %s", &code, &r.Name); err != nil {
		return Result{}, false
	}
	r.Code = Code(code)
	r.Ran = Ran(h.Get(HeaderRan))
	if ms, err := strconv.ParseInt(h.Get(HeaderRetry), 10, 64); err == nil {
		r.Retry = time.Duration(ms) * time.Millisecond
	}
	return r, r.Code != OK
}
