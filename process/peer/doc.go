// SPDX-License-Identifier: MIT

/*
Package peer is the protocol that instances speak among themselves, generated
from peer.proto. To generate it again after a change:

	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
*/
package peer
