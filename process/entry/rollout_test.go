// SPDX-License-Identifier: MIT

package entry

import (
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/operator"
	"shalewick/request"
)

// TestRolloutOrderIsRefused orders a rollout through the operator's client: this role sends
// requests to all backend servers of a service, so it must refuse the order.
func TestRolloutOrderIsRefused(t *testing.T) {
	e := newConfiguredEntry(t, 1)
	h, err := e.adminHandler()
	assert.NilError(t, err)
	srv := httptest.NewServer(h)
	defer srv.Close()
	before := e.store.Config().Seq
	c := operator.New([]string{srv.Listener.Addr().String()})
	_, err = c.ApplyDocuments(t.Context(), []byte("kind: rollout\nname: s\nspec: {service: s, target: v2, within: 30s}\n"))
	var refused *operator.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, request.NotCarriedOut)
	assert.Equal(t, e.store.Config().Seq, before)
	_, err = c.Rollout(t.Context(), "s")
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, request.NotCarriedOut)
}
