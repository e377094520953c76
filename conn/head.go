// SPDX-License-Identifier: MIT

package conn

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// MaxHeadBytes is the maximum size of the head of a response in bytes, with those of the interim responses before
	// it. A trailer may have as many.
	MaxHeadBytes = bufferSize - addedBytes
	// MaxHeadLines is the maximum number of header lines of a head or trailer.
	MaxHeadLines = 100
	// MaxInterim is the maximum number of interim responses (1xx) before a response.
	MaxInterim = 16

	// addedBytes and addedLines are what the response of another instance may have in addition: the headers that it adds
	// to the response of a backend server.
	addedBytes = 1 << 10
	addedLines = 16
)

// headLimits are the limits of the heads that a connection may receive.
type headLimits struct{ bytes, lines int }

// limits returns the limits of the connection.
func (c *pooledConn) limits() headLimits {
	if c.toInstance {
		return headLimits{bytes: MaxHeadBytes + addedBytes, lines: MaxHeadLines + addedLines}
	}
	return headLimits{bytes: MaxHeadBytes, lines: MaxHeadLines}
}

// ErrMerged is the error of a response that consists of parts of several ones: a backend server that breaks off within a
// response and keeps the connection sends the next one right behind the first part. It can't be told which request the
// response belongs to.
const ErrMerged = errors.ConstError("the response is made of several ones")

// ErrMalformed is the error of a response whose head or trailer breaks the syntax of HTTP/1.1 (RFC 9112).
const ErrMalformed = errors.ConstError("the head of the response is malformed")

// ErrHeadTooLarge is the error of a response whose head or trailer exceeds MaxHeadBytes or MaxHeadLines, or that follows
// more than MaxInterim interim responses.
const ErrHeadTooLarge = errors.ConstError("the head of the response is too large")

// readResponse reads the head of the response to req. It skips interim responses. The error is ErrHeadTooLarge if a
// limit is exceeded, ErrMerged if the response has parts of another one, and ErrMalformed if it is no response.
func (c *pooledConn) readResponse(req *http.Request) (*http.Response, error) {
	interim := 0
	for left := c.limits(); ; {
		size, err := c.awaitHead(&headScanner{statusLine: true, maxLines: left.lines}, left.bytes)
		if err != nil {
			return nil, err
		}
		left.bytes -= size
		res, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, errors.WithType(err, ErrMalformed)
		}
		if res.StatusCode/100 == 1 {
			interim++
			if interim > MaxInterim {
				return nil, errors.Annotatef(ErrHeadTooLarge, "more than %d interim responses", MaxInterim)
			}
			continue
		}
		if len(res.TransferEncoding) > 0 && res.Body != http.NoBody {
			res.Body = &chunkedBody{conn: c, chunks: httputil.NewChunkedReader(c.r)}
		}
		return res, nil
	}
}

// awaitHead waits until the buffer holds a whole head of at most limit bytes, and returns its size. So parsing it reads
// nothing from the connection.
func (c *pooledConn) awaitHead(s *headScanner, limit int) (size int, err error) {
	for {
		buffered, err := c.r.Peek(c.r.Buffered())
		if err != nil {
			return 0, err
		}
		size, err := s.scan(buffered[:min(len(buffered), limit)])
		if size > 0 || err != nil {
			return size, err
		}
		if len(buffered) >= limit {
			return 0, errors.Annotatef(ErrHeadTooLarge, "%d bytes without an end", limit)
		}
		if _, err := c.r.Peek(len(buffered) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}

// headScanner searches for the end of a head, of which it is passed ever more bytes.
type headScanner struct {
	maxLines   int
	statusLine bool // the status line is still to come
	http10     bool // the status line is that of HTTP/1.0
	interim    bool // the status line is that of an interim response
	lines      int  // header lines that were seen
	lengths    int  // those of them that give the length of the body
	start      int  // of the first line that is not complete
	searched   int  // bytes after which the search continues
}

var (
	statusLinePrefix = []byte("HTTP/")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// containsStatusLine reports whether a part of a line looks like the beginning of a status line: the version and a status.
func containsStatusLine(line []byte) bool {
	for {
		i := bytes.Index(line, statusLinePrefix)
		if i < 0 {
			return false
		}
		line = line[i+len(statusLinePrefix):]
		if len(line) >= 7 && line[1] == '.' && line[3] == ' ' && isDigit(line[0]) && isDigit(line[2]) && isDigit(line[4]) && isDigit(line[5]) && isDigit(line[6]) {
			return true
		}
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// RepeatedHeader returns the first of the names that h contains more than once, or "".
func RepeatedHeader(h http.Header, names ...string) string {
	for _, name := range names {
		if len(h.Values(name)) > 1 {
			return name
		}
	}
	return ""
}

// scan returns the size of the head that b begins with, or zero if b does not contain its end. It fails as soon as b
// can't be the beginning of a head, so that nobody waits for the end of bytes that are no response.
func (s *headScanner) scan(b []byte) (size int, err error) {
	if n := min(len(b), len(statusLinePrefix)); s.statusLine && !bytes.Equal(b[:n], statusLinePrefix[:n]) {
		return 0, errors.Annotatef(ErrMalformed, "status line %.40q", b)
	}
	for {
		n := bytes.IndexByte(b[s.searched:], '\n')
		if n < 0 {
			s.searched = len(b)
			return 0, nil
		}
		end := s.searched + n
		line := bytes.TrimSuffix(b[s.start:end], []byte{'\r'})
		s.start, s.searched = end+1, end+1
		if len(line) == 0 {
			return s.start, nil
		}
		if err := s.check(line); err != nil {
			return 0, err
		}
	}
}

// check checks a line that is not empty.
func (s *headScanner) check(line []byte) error {
	if containsStatusLine(line[1:]) || !s.statusLine && containsStatusLine(line) {
		return errors.Annotatef(ErrMerged, "line %.80q", line)
	}
	if s.statusLine {
		s.statusLine = false
		return s.checkStatusLine(line)
	}
	s.lines++
	if s.lines > s.maxLines {
		return errors.Annotatef(ErrHeadTooLarge, "more than %d lines", s.maxLines)
	}
	if (line[0] == ' ' || line[0] == '\t') && s.lines > 1 { // continues the line before
		return checkFieldValue(line)
	}
	return s.checkField(line)
}

// checkField checks a line with the name and value of a header.
func (s *headScanner) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Annotatef(ErrMalformed, "header line %.80q", line)
	}
	hasEncoding := bytes.EqualFold(name, transferEncoding)
	if hasEncoding && s.http10 { // net/http ignores it, so the chunks would be the body (RFC 9112, 6.1)
		return errors.Annotate(ErrMalformed, "HTTP/1.0 response with a transfer encoding")
	}
	if hasEncoding || bytes.EqualFold(name, contentLength) {
		s.lengths++
	}
	if s.lengths > 1 {
		return errors.Annotate(ErrMerged, "two lengths")
	}
	return checkFieldValue(value)
}

// checkFieldValue checks the value of a header, or a line that continues it.
func checkFieldValue(value []byte) error {
	if containsControl(value) {
		return errors.Annotatef(ErrMalformed, "header value %.80q", value)
	}
	return nil
}

// checkStatusLine checks a status line: the version, a status from 100 to 599, and a reason, which may be missing. It allows
// several blanks before the status (RFC 9112, 4).
func (s *headScanner) checkStatusLine(line []byte) error {
	const versionSize, statusSize = len("HTTP/1.1"), len("200")
	version, rest, _ := bytes.Cut(line, []byte{' '})
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	valid := len(version) == versionSize && bytes.HasPrefix(version, []byte("HTTP/1.")) && isDigit(version[versionSize-1]) &&
		len(status) == statusSize && '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
	if !valid || containsControl(reason) {
		return errors.Annotatef(ErrMalformed, "status line %.80q", line)
	}
	s.http10 = version[versionSize-1] == '0'
	s.interim = status[0] == '1'
	return nil
}

// containsControl reports whether a part of a line contains a control character other than a tab.
func containsControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// chunkedBody reads a chunked body. Unlike the body of http.ReadResponse it limits the lines of the trailer, which it
// discards.
type chunkedBody struct {
	conn   *pooledConn
	chunks io.Reader
	err    error // ended the body
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.chunks.Read(p)
	if b.err == io.EOF {
		if err := b.conn.skipTrailer(); err != nil {
			b.err = err
		}
	}
	return n, b.err
}

// Close implements io.Closer. The exchange closes the connection.
func (b *chunkedBody) Close() error { return nil }

// skipTrailer reads the trailer of a chunked body, which may be empty.
func (c *pooledConn) skipTrailer() error {
	limits := c.limits()
	if _, err := c.awaitHead(&headScanner{maxLines: limits.lines}, limits.bytes); err != nil {
		return errors.Annotate(err, "read trailer")
	}
	if _, err := textproto.NewReader(c.r).ReadMIMEHeader(); err != nil {
		return errors.WithType(errors.Annotate(err, "read trailer"), ErrMalformed)
	}
	return nil
}
