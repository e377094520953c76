// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// maxRateLimit bounds the rate limits that are taken up, in requests a second. A larger one
// is a mistake of the backend server's: none takes so many.
const maxRateLimit = 1e6

// RateLimit reads the requests a second that the head of an answer says its backend server takes
// from all instances together; zero: it names no limit. A header that is there twice, is no decimal
// number, is not above zero or is beyond maxRateLimit is an error.
func (n *Names) RateLimit(h http.Header) (float64, error) {
	if n.Limit == "" {
		return 0, nil
	}
	values := h.Values(n.Limit)
	switch len(values) {
	case 0:
		return 0, nil
	case 1:
	default:
		return 0, errors.Errorf("rate limit is named %d times", len(values))
	}
	limit, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return 0, errors.Errorf("rate limit %.40q is no number", values[0])
	}
	if !(limit > 0 && limit <= maxRateLimit) { // NaN is not
		return 0, errors.Errorf("rate limit %.40q is out of range", values[0])
	}
	return limit, nil
}
