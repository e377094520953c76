// SPDX-License-Identifier: MIT

package admin

import (
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"shalewick/process/auth"
	"shalewick/request"
)

// workspaceKey names the caller's workspace among a call's values.
const workspaceKey = "workspace"

const bearer = "Bearer "

// authenticate finds the workspace of a call's token and refuses the call if there
// is none.
func (a *Admin) authenticate(c iris.Context) {
	if a.Workspaces == nil {
		c.Next()
		return
	}
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), bearer)
	workspace, err := a.Workspaces.Find(token, time.Now())
	if err != nil {
		a.refuse(c, tokenCode(err), err)
		return
	}
	c.Values().Set(workspaceKey, workspace)
	c.Next()
}

// tokenCode numbers the error of a token.
func tokenCode(err error) request.Code {
	switch {
	case errors.Is(err, auth.Missing):
		return request.TokenMissing
	case errors.Is(err, auth.Expired):
		return request.TokenExpired
	}
	return request.TokenWrong
}
