// SPDX-License-Identifier: MIT

package upload

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAttemptsReadOneBody checks, for any order of attempts, reads and reclaims, that each attempt reads a beginning of
// the body, that none takes a part for the whole, and that a body that can be sent again is whole.
func TestAttemptsReadOneBody(t *testing.T) {
	const text = "abcdefghijklmnop"
	rapid.Check(t, func(t *rapid.T) {
		buffered := rapid.IntRange(0, len(text)).Draw(t, "buffered")
		var rest io.Reader
		if buffered < len(text) {
			rest = strings.NewReader(text[buffered:])
		}
		b := New([]byte(text[:buffered]), rest, int64(len(text)), nil)
		type attempt struct {
			io.ReadCloser
			got []byte
		}
		var attempts []*attempt
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(attempts) == 0 || rapid.IntRange(0, 9).Draw(t, "step") == 0 {
				if b.Reclaim() {
					attempts = append(attempts, &attempt{ReadCloser: b.Open()})
				}
				continue
			}
			i := rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")
			a := attempts[i]
			p := make([]byte, rapid.IntRange(1, 5).Draw(t, "bytes"))
			n, err := a.Read(p)
			a.got = append(a.got, p[:n]...)
			if !strings.HasPrefix(text, string(a.got)) {
				t.Fatalf("attempt %d read %q", i, a.got)
			}
			if err == io.EOF && len(a.got) < len(text) {
				t.Fatalf("attempt %d takes %q for the whole", i, a.got)
			}
		}
		if b.Reclaim() {
			whole, err := io.ReadAll(b.Open())
			if err != nil || string(whole) != text {
				t.Fatalf("%q, %v", whole, err)
			}
		}
	})
}

// TestReadUnderWayIsReclaimed checks that a read that has begun before Reclaim neither delivers its bytes nor makes the body
// replayable.
func TestReadUnderWayIsReclaimed(t *testing.T) {
	in, out := io.Pipe()
	b := New([]byte("ab"), in, -1, nil)
	r := b.Open()
	_, err := io.ReadFull(r, make([]byte, 2))
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := r.Read(make([]byte, 2))
		done <- err
	}()
	_, err = out.Write([]byte("c")) // returns once the read has got it
	assert.NilError(t, err)
	assert.NilError(t, <-done)
	go func() {
		_, err := r.Read(make([]byte, 2))
		done <- err
	}()
	time.Sleep(20 * time.Millisecond) // until it has begun
	assert.Assert(t, !b.Reclaim())
	_, err = out.Write([]byte("d"))
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(<-done, ErrReclaimed))
	assert.Equal(t, b.Unread(), int64(-1))
}

// TestSecondReaderOfRestFails checks that an attempt that is begun although the remainder has been read takes no part of
// the body for the whole.
func TestSecondReaderOfRestFails(t *testing.T) {
	b := New([]byte("ab"), strings.NewReader("cd"), 4, nil)
	_, err := io.ReadFull(b.Open(), make([]byte, 3))
	assert.NilError(t, err)
	got, err := io.ReadAll(b.Open())
	assert.Equal(t, string(got), "ab")
	assert.Assert(t, errors.Is(err, ErrReclaimed))
}

// TestBufferIsFreedOnce checks that the buffered bytes are freed when the owner and all attempts have finished, in any order.
func TestBufferIsFreedOnce(t *testing.T) {
	for range 50 {
		freed := make(chan struct{}, 2)
		b := New([]byte("ab"), nil, 2, func() { freed <- struct{}{} })
		var users sync.WaitGroup
		for range 3 {
			r := b.Open()
			users.Go(func() {
				_, _ = io.Copy(io.Discard, r)
				_ = r.Close()
				_ = r.Close()
			})
		}
		users.Go(b.Release)
		users.Go(b.Release)
		users.Wait()
		<-freed
		assert.Equal(t, len(freed), 0)
	}
}

// TestConnectionEndsIfMuchIsLeft checks which responses tell callers to stop sending.
func TestConnectionEndsIfMuchIsLeft(t *testing.T) {
	for _, x := range []struct {
		unread                 int64
		streamed, framed, ends bool
	}{
		{0, false, true, false}, {0, true, false, false}, {1, false, true, false}, {1, true, false, true}, {MaxDiscarded, true, true, false},
		{MaxDiscarded + 1, false, true, true}, {-1, false, true, false}, {-1, true, true, true}, {-1, false, false, true},
	} {
		assert.Equal(t, EndsConnection(x.unread, x.streamed, x.framed), x.ends, "%+v", x)
	}
}

// TestDrainKeepsOrEndsConnection checks that a connection is used again if the rest of the body arrives, and that what follows
// a body that does not is never taken for a request.
func TestDrainKeepsOrEndsConnection(t *testing.T) {
	requests := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		Respond(w, r)
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusTeapot)
		if r.ContentLength != 0 && !Drain(w, r, time.Time{}) {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	const next = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, x := range []struct {
		name, body string
		pause      time.Duration
		responses  int
	}{
		{"whole", "0123456789", 100 * time.Millisecond, 2},
		{"late", "0123456789", idleDrainTime + 300*time.Millisecond, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
			assert.NilError(t, err)
			time.Sleep(x.pause)
			_, _ = io.WriteString(c, x.body+next) // fails if the connection has been closed
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			b, _ := io.ReadAll(c)
			assert.Equal(t, bytes.Count(b, []byte("HTTP/1.1 418")), x.responses, "%q", b)
		})
	}
	assert.Equal(t, requests, 3)
}
