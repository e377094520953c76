// SPDX-License-Identifier: MIT

/*
Package drain ends the connections of an HTTP server without losing requests: in a planned stop, and if request heads take
too much memory.

	server.ConnState = conns.OnStateChange
	server.ConnContext = conns.ConnContext // if its handler tracks requests with Request
	queue := drain.NewQueue(tcpListener)
	go server.Serve(drain.Listener{TCPListener: queue, Conns: &conns})
	...
	queue.Drain()                    // closes the listener once no connection waits
	conns.EndIdle(minAge)            // callers have learned of the stop
	for conns.Pending(maxAge) > 0    // requests of which a part was read
	conns.Refuse(response)           // the process is about to exit

An idle connection can be closed at any time: a request that is on its way then
reaches nobody, and its caller may send it again. Whether a request was on its way is decided once for each
connection, between the read of its first byte and the end of the connection. net/http has no such order:
http.Server.Shutdown drops requests that it has read, and http.Server.Close also those that run.

A HeadBudget bounds the memory of request heads: a server reads them before any limit on requests applies. It ends
connections while they read, so that no request with a complete head is lost.

Stop logs the steps of a stop, and each Request whose connection it closes.
*/
package drain
