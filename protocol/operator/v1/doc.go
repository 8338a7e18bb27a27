// SPDX-License-Identifier: Apache-2.0

// Package operatorv1 holds the messages of the operators' interface, made from
// operator.proto by tools/generate.sh. This file alone is written by hand.
package operatorv1
