// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file defines Cost, which converts a request's token counts into its charge.

// outputTokenCost is the cost of one output token relative to an input token.
const outputTokenCost = 2

// Cost returns the cost of a request in input tokens, from the number of its input tokens and
// its maximum number of output tokens.
func Cost(inputTokens, maxOutputTokens int) float64 {
	return float64(inputTokens + outputTokenCost*maxOutputTokens)
}
