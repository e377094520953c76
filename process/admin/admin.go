// SPDX-License-Identifier: MIT

package admin

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"

	"shalewick/process/auth"
	"shalewick/process/config"
	"shalewick/process/metric"
	"shalewick/process/platform"
	"shalewick/process/rolloutview"
	"shalewick/request"
	"shalewick/version"
)

// Admin serves the operators' API. The fields must be set before use.
type Admin struct {
	Log        *config.Log
	Store      *config.Store
	Logger     zerolog.Logger
	Metrics    *metric.Set
	Status     func(context.Context) []EntryStatus
	Ready      func() bool
	Workspaces *auth.Workspaces // nil: requests are not authenticated
	// Rollouts finds the rollout of a service. If nil, this role runs no
	// rollouts and refuses orders for them.
	Rollouts rolloutview.Find
}

// EntryStatus is the status of one instance.
type EntryStatus struct {
	ID          string    `json:"id"`
	Instance    string    `json:"instance"`
	Hall        string    `json:"hall"`
	Leaving     bool      `json:"leaving,omitempty"`
	Missing     string    `json:"missing,omitempty"` // reason why its status is missing
	Version     int64     `json:"version"`
	Since       time.Time `json:"since"`
	ConfirmedMs int64     `json:"confirmedMs"` // age of the last confirmation of the version; -1: none
	Epoch       int64     `json:"epoch"`       // of the split of tokens

	Pools           []PoolStatus `json:"pools,omitempty"`
	BackendsLeaving []string     `json:"backendsLeaving,omitempty"`
}

// PoolStatus holds the token counts of one limit at one instance.
type PoolStatus struct {
	Pool     string `json:"pool"`
	Size     int32  `json:"size"`
	Home     int32  `json:"home"`
	Free     int32  `json:"free"`
	Busy     int32  `json:"busy"`
	Lent     int32  `json:"lent"`
	Borrowed int32  `json:"borrowed"`
}

// ApplyResponse is the response to an accepted change.
type ApplyResponse struct {
	Version   int64  `json:"version"`
	Operation string `json:"operation"`
}

// ErrorResponse is the response to a refused request.
type ErrorResponse struct {
	request.Result
	Text    string            `json:"text"`
	Present *version.Resource `json:"present,omitempty"` // current resource, on conflict
}

// StatusResponse is the response to a status request.
type StatusResponse struct {
	Version int64         `json:"version"` // in force at the responding instance
	InForce bool          `json:"inForce"` // at all instances; with wait, whether the awaited version is
	Entries []EntryStatus `json:"entries"`
}

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 8 << 20

// Handler returns the HTTP handler of the API.
func (a *Admin) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(c iris.Context) { _, _ = c.WriteString("ok\n") })
	app.Get("/readyz", a.ready)
	app.Use(a.authenticate) // applies to the routes registered below
	app.Post("/v1/apply", a.apply)
	app.Get("/v1/resources", a.listResources)
	app.Get("/v1/resources/{kind}", a.listResources)
	app.Get("/v1/resources/{kind}/{name}", a.getResource)
	app.Delete("/v1/resources/{kind}/{name}", a.deleteResource)
	app.Get("/v1/rollouts/{service}", func(c iris.Context) { rolloutview.Serve(c.ResponseWriter(), c.Params().Get("service"), a.Rollouts) })
	app.Get("/v1/watch", a.watch)
	app.Get("/v1/status", a.status)
	app.Get("/metrics", func(c iris.Context) { _ = a.Metrics.Write(c.ResponseWriter()) })
	if err := app.Build(); err != nil {
		return nil, errors.Annotate(err, "build admin routes")
	}
	return app, nil
}

func (a *Admin) ready(c iris.Context) {
	if !a.Ready() {
		request.NotRun(request.NoVersion, time.Second).Write(c.ResponseWriter())
		return
	}
	_, _ = c.WriteString("ready\n")
}

func (a *Admin) apply(c iris.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxBodyBytes))
	if err != nil {
		a.refuse(c, request.TooLarge, err)
		return
	}
	puts, err := version.Parse(body)
	if err != nil {
		a.refuse(c, request.Invalid, err)
		return
	}
	if len(puts) == 0 {
		a.refuse(c, request.Invalid, errors.New("no documents"))
		return
	}
	if order, found := a.findRolloutOrder(puts); found {
		a.refuse(c, request.NotCarriedOut, errors.Errorf("%s: requests go to all backend servers of a service here, whatever version they run", order))
		return
	}
	a.commit(c, version.Change{Puts: puts})
}

// findRolloutOrder returns the first order for a rollout if this role runs no
// rollouts. Such an order must be refused, because it would have no effect.
func (a *Admin) findRolloutOrder(puts []version.Resource) (order version.Key, found bool) {
	for _, r := range puts {
		if a.Rollouts == nil && r.Kind == version.KindRollout {
			return r.Key, true
		}
	}
	return version.Key{}, false
}

func (a *Admin) deleteResource(c iris.Context) {
	v, err := strconv.ParseInt(c.URLParam("version"), 10, 64)
	if err != nil || v <= 0 {
		a.refuse(c, request.Invalid, errors.New("version: must name the version that the deletion is made against"))
		return
	}
	a.commit(c, version.Change{Deletes: []version.Ref{{Key: resourceKey(c), Version: v}}})
}

// resourceKey returns the key of the resource that the request path names.
func resourceKey(c iris.Context) version.Key {
	return version.Key{Kind: version.ParseKind(c.Params().Get("kind")), Name: c.Params().Get("name")}
}

// commitTimeout limits the time for committing a change to the platform.
const commitTimeout = 15 * time.Second

func (a *Admin) commit(c iris.Context, ch version.Change) {
	ch.Operation = cmp.Or(c.GetHeader(request.HeaderOperation), rand.Text())
	c.Header(request.HeaderOperation, ch.Operation)
	// The commit continues if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), commitTimeout)
	defer cancel()
	check := func(*version.Config, *version.Change) error { return nil }
	if workspace, ok := c.Values().Get(workspaceContextKey).(auth.Workspace); ok {
		ch.Author = workspace.Name
		check = workspace.Authorize
	}
	seq, err := a.Log.Commit(ctx, ch, check)
	if err != nil {
		a.refuse(c, commitErrorCode(err), err)
		return
	}
	a.Logger.Info().Int64("version", seq).Str("operation", ch.Operation).Int("puts", len(ch.Puts)).
		Int("deletes", len(ch.Deletes)).Msg("accepted")
	writeJSON(c, http.StatusOK, ApplyResponse{Version: seq, Operation: ch.Operation})
}

// commitErrorCode returns the result code for an error of a commit.
func commitErrorCode(err error) request.Code {
	var conflict *version.ConflictError
	var field *version.FieldError
	switch {
	case errors.As(err, &conflict):
		return request.Conflict
	case errors.As(err, &field):
		return request.Invalid
	case errors.Is(err, config.ErrNotAllowed):
		return request.Forbidden
	case errors.Is(err, platform.ErrUnknownOutcome):
		return request.CommitUnknown
	}
	return request.PlatformDown
}

// refuse responds with a result for a request that was not carried out.
func (a *Admin) refuse(c iris.Context, code request.Code, err error) {
	info := code.Info()
	r := ErrorResponse{Result: request.NotRun(code, 0), Text: info.Text}
	r.Name = info.Name
	r.Detail = err.Error()
	if code == request.CommitUnknown {
		r.Ran = request.RanUnknown
	}
	var conflict *version.ConflictError
	if errors.As(err, &conflict) && conflict.Present.Kind != "" {
		r.Present = &conflict.Present
	}
	c.Header(request.HeaderResult, code.String())
	c.Header(request.HeaderRan, string(r.Ran))
	writeJSON(c, info.Status, r)
}

func writeJSON(c iris.Context, status int, v any) {
	c.ContentType("application/json")
	c.StatusCode(status)
	_ = json.NewEncoder(c.ResponseWriter()).Encode(v) // fails only if the caller has disconnected
}

func (a *Admin) listResources(c iris.Context) {
	rs := a.Store.Config().List(version.ParseKind(c.Params().Get("kind")))
	if rs == nil {
		rs = []version.Resource{}
	}
	writeJSON(c, http.StatusOK, rs)
}

func (a *Admin) getResource(c iris.Context) {
	r, ok := a.Store.Config().Resources[resourceKey(c)]
	if !ok {
		a.refuse(c, request.NotFound, errors.Errorf("%s does not exist", resourceKey(c)))
		return
	}
	writeJSON(c, http.StatusOK, r)
}

// watch streams the changes after a version. If these are no longer kept, the
// stream begins with the whole configuration as one change.
func (a *Admin) watch(c iris.Context) {
	from, err := strconv.ParseInt(cmp.Or(c.URLParam("from"), "0"), 10, 64)
	if err != nil {
		a.refuse(c, request.Invalid, errors.New("from: must be a version"))
		return
	}
	w := c.ResponseWriter()
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for {
		updated := a.Store.Changed()
		changes, ok := a.Store.ChangesSince(from)
		if !ok {
			cfg := a.Store.Config()
			changes = []version.Change{{Seq: cfg.Seq, Operation: "snapshot", Puts: cfg.List("")}}
		}
		for _, ch := range changes {
			if err := enc.Encode(ch); err != nil {
				return
			}
			from = ch.Seq
		}
		w.Flush()
		select {
		case <-updated:
		case <-c.Request().Context().Done():
			return
		}
	}
}

// Poll interval and default timeout of a status request with wait.
const (
	statusPollInterval   = 20 * time.Millisecond
	defaultStatusTimeout = 13 * time.Second
)

func (a *Admin) status(c iris.Context) {
	ctx := c.Request().Context()
	st := StatusResponse{Version: a.Store.Config().Seq}
	wantVersion := st.Version
	if text := c.URLParam("wait"); text != "" {
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			a.refuse(c, request.Invalid, errors.New("wait: must be a version"))
			return
		}
		wantVersion = v
	}
	timeout, err := time.ParseDuration(cmp.Or(c.URLParam("timeout"), defaultStatusTimeout.String()))
	if err != nil {
		a.refuse(c, request.Invalid, errors.New("timeout: must be a duration like 5s"))
		return
	}
	deadline := time.Now().Add(timeout)
	for {
		st.Entries = a.Status(ctx)
		st.InForce = inForce(st.Entries, wantVersion)
		if st.InForce || c.URLParam("wait") == "" || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		time.Sleep(statusPollInterval)
	}
	st.Version = a.Store.Config().Seq
	code := http.StatusOK
	if !st.InForce && c.URLParam("wait") != "" {
		code = request.NotInForce.Info().Status
		c.Header(request.HeaderResult, request.NotInForce.String())
	}
	writeJSON(c, code, st)
}

// inForce reports whether all instances have at least version want in force.
func inForce(entries []EntryStatus, want int64) bool {
	for _, e := range entries {
		if e.Missing != "" || e.Version < want {
			return false
		}
	}
	return true
}
