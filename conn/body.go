// SPDX-License-Identifier: MIT

package conn

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// ErrBodyTooLarge is the error of a body that exceeds its limit.
const ErrBodyTooLarge = errors.ConstError("the body of the response is too large")

// Sizes of the parts in which a body is read, in bytes.
const (
	minBodyPart = 512
	maxBodyPart = 64 << 10
)

// ReadBody reads the body of a response, of up to limit bytes. The error is ErrBodyTooLarge if it is larger. It takes little
// more memory than what was read, unlike io.ReadAll, which copies a body again and again as it grows.
func ReadBody(res *http.Response, limit int) ([]byte, error) {
	var full [][]byte
	part := make([]byte, 0, minBodyPart)
	for size := 0; ; {
		n, err := res.Body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		size += n
		if size > limit {
			return nil, errors.Annotatef(ErrBodyTooLarge, "more than %d bytes", limit)
		}
		if err == io.EOF {
			return bytes.Join(append(full, part), nil), nil
		}
		if err != nil {
			return nil, err
		}
		if len(part) == cap(part) {
			full = append(full, part)
			part = make([]byte, 0, min(2*cap(part), maxBodyPart))
		}
	}
}
