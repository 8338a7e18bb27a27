// SPDX-License-Identifier: Apache-2.0

// Package standin stands in for the systems behind a fleet, for development
// and tests: [Engine], a model engine with the OpenAI-style interface, and
// [Service], a plain service that counts what it ran.
//
// They are small on purpose. A stand-in keeps time by tokens, honours slots
// and priorities, and fails in each way that a real server can, when told to
// ([Failure]); it models nothing else and nothing should be concluded from its
// speed.
package standin
