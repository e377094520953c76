// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// maxRateLimit is the largest rate limit that is accepted, in requests a second. A larger one is a
// mistake of the backend server, since none can serve that many.
const maxRateLimit = 1e6

// RateLimit parses the rate limit in the headers of a response: the requests a second that the
// backend server accepts from all instances together; zero if there is none. It is an error if the
// header occurs twice, is not a decimal number, or is not above zero and at most maxRateLimit.
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
		return 0, errors.Errorf("rate limit header occurs %d times", len(values))
	}
	limit, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return 0, errors.Errorf("rate limit %.40q is not a number", values[0])
	}
	if !(limit > 0 && limit <= maxRateLimit) { // also rejects NaN
		return 0, errors.Errorf("rate limit %.40q is out of range", values[0])
	}
	return limit, nil
}
