// SPDX-License-Identifier: Apache-2.0

// Package standin simulates backend servers for development and tests: [Engine] is a model engine
// with an OpenAI-style API, and [Service] is a plain HTTP service that counts its requests.
//
// Stand-ins are deliberately simple. An engine spends a fixed time per token, runs as many requests
// as it has slots, and fails the next request in the way that a test selects ([Failure]). Their
// speed says nothing about real servers. This package does not simulate whole deployments with faulty
// servers; the users' test bench does.
package standin
