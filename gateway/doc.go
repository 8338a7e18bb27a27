// SPDX-License-Identifier: Apache-2.0

// Package gateway is the gateway role of a node: it takes callers' requests,
// routes them by host and path to pools of announced backend servers, shares the
// pools fairly among accounts, and relays the answers.
//
// The model: one goroutine a request (net/http's own), one table of backend servers,
// and one session with the leader of the directory. A request is matched to a
// route and an account, marked as within the account's fair share or beyond it,
// and given a backend server at once if one has room; otherwise it waits a short
// while, in fair order, and is then refused with a time to come back. Each
// attempt ends with a typed outcome that says whether the request may have
// run, and only that decides whether it may be sent again.
//
// A gateway holds nothing that must survive. Cut off from the directory it
// goes on with the newest document and the backend servers that it knows; before its
// first document it refuses everything as not run and is not ready.
//
// What a deployment calls its headers is the business of a [HeaderCodec].
//
// Lock order: table.mu, then nothing. Sessions and requests hold no lock
// across I/O or a channel send that can block.
package gateway
