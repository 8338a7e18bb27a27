// SPDX-License-Identifier: Apache-2.0

// Package standin simulates the systems behind a fleet, for development and
// tests: [Engine], a model engine with the OpenAI-style interface, and
// [Service], a plain service that counts what it ran.
//
// They are small on purpose. A stand-in keeps time by tokens, runs as many
// requests as it has slots, and fails the next request in the way that a test
// chose ([Failure]); it models nothing else and its speed shows nothing about a
// real server. Whole deployments with faulty servers are simulated by the users'
// bench, not here.
package standin
