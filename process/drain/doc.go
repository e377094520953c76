// SPDX-License-Identifier: MIT

/*
Package drain ends the connections of an HTTP server in a planned stop without losing requests.

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

Stop logs the steps of a stop, and each Request whose connection it closes.
*/
package drain
