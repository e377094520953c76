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

// teamKey names the caller's team among a call's values.
const teamKey = "team"

const bearer = "Bearer "

// authenticate finds the team of a call's token and refuses the call if there
// is none.
func (a *Admin) authenticate(c iris.Context) {
	if a.Teams == nil {
		c.Next()
		return
	}
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), bearer)
	team, err := a.Teams.Find(token, time.Now())
	if err != nil {
		a.refuse(c, tokenCode(err), err)
		return
	}
	c.Values().Set(teamKey, team)
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
