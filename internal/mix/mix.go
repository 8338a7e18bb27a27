// SPDX-License-Identifier: Apache-2.0

// Package mix provides an integer hash for rendezvous hashing. All nodes must compute the same hash,
// so the function must not change.
package mix

// Bits applies the 64-bit finalizer of MurmurHash3, so that every input bit affects every output bit.
// Rendezvous hashing needs this because FNV hashes of names that differ only in their last byte differ
// in few bits.
func Bits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
