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

// workspaceContextKey is the key of the caller's workspace in the request context.
const workspaceContextKey = "workspace"

const bearerPrefix = "Bearer "

// authenticate stores the workspace of the request's token in the request
// context, and refuses the request if there is none.
func (a *Admin) authenticate(c iris.Context) {
	if a.Workspaces == nil {
		c.Next()
		return
	}
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	workspace, err := a.Workspaces.Find(token, time.Now())
	if err != nil {
		a.refuse(c, tokenErrorCode(err), err)
		return
	}
	c.Values().Set(workspaceContextKey, workspace)
	c.Next()
}

// tokenErrorCode returns the result code for an invalid token.
func tokenErrorCode(err error) request.Code {
	switch {
	case errors.Is(err, auth.ErrTokenMissing):
		return request.TokenMissing
	case errors.Is(err, auth.ErrTokenExpired):
		return request.TokenExpired
	}
	return request.TokenWrong
}
