// SPDX-License-Identifier: Apache-2.0

// Package standin stands in for the systems behind a fleet, for development
// and tests: [Engine], a model engine with the OpenAI-style interface, and
// [Service], a plain service that counts what it ran.
//
// They are small on purpose. A stand-in keeps time by tokens, runs as many
// requests as it has slots, and fails the next request in the way that a test
// asks for ([Failure]); it models nothing else and nothing should be concluded from its
// speed. Whole deployments with faulty servers are played by the users' bench,
// not here.
package standin
