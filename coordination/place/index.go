// SPDX-License-Identifier: Apache-2.0

package place

import (
	"container/list"
	"slices"

	"github.com/zeebo/xxh3"
)

// This file defines Index, which approximates which servers have which prompt blocks cached.

// Dimensions of the index.
const (
	BlockBytes      = 512 // bytes of prompt covered by one block
	MaxBlocks       = 64  // blocks considered per prompt
	serversPerBlock = 3   // servers recorded per block
)

// uncertainFactor discounts the benefit of a server whose cache events had a gap.
const uncertainFactor = 0.5

// Block is the hash of a prompt's prefix up to the end of one block.
type Block uint64

// Blocks returns the blocks of a prompt. Each hash covers one whole block and is chained with the
// hashes before it. A tail shorter than a block is omitted, since engines cache whole blocks only.
func Blocks(prompt []byte) []Block {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	blocks := make([]Block, n)
	var chain uint64
	for i := range blocks {
		chain = xxh3.HashSeed(prompt[i*BlockBytes:(i+1)*BlockBytes], chain)
		blocks[i] = Block(chain)
	}
	return blocks
}

// Index is a bounded LRU list of prompt blocks, with the servers that are expected to have them
// cached.
type Index struct {
	max     int
	byBlock map[Block]*list.Element
	order   list.List // of *cachedBlock, least recently used first
	servers map[string]*serverCache
}

// cachedBlock is one block and the servers that are expected to have it cached.
type cachedBlock struct {
	block   Block
	servers []string // at most serversPerBlock, most recent last
}

func (p *cachedBlock) remove(server string) {
	p.servers = slices.DeleteFunc(p.servers, func(s string) bool { return s == server })
}

// serverCache tracks the sequence of one server's cache events.
type serverCache struct {
	next      uint64 // sequence number of the next event
	uncertain bool
}

// NewIndex returns an index of at most max blocks.
func NewIndex(max int) *Index {
	return &Index{max: max, byBlock: map[Block]*list.Element{}, servers: map[string]*serverCache{}}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.byBlock) }

// Sent records that a prompt was sent to a server.
func (x *Index) Sent(server string, prompt []Block) {
	for _, b := range prompt {
		x.add(server, b)
	}
}

func (x *Index) add(server string, b Block) {
	el := x.byBlock[b]
	if el == nil {
		el = x.order.PushBack(&cachedBlock{block: b})
		x.byBlock[b] = el
		x.shrink()
	} else {
		x.order.MoveToBack(el)
	}
	p := el.Value.(*cachedBlock)
	p.remove(server)
	if len(p.servers) == serversPerBlock {
		p.servers = slices.Delete(p.servers, 0, 1)
	}
	p.servers = append(p.servers, server)
}

func (x *Index) shrink() {
	for len(x.byBlock) > x.max {
		oldest := x.order.Front()
		delete(x.byBlock, oldest.Value.(*cachedBlock).block)
		x.order.Remove(oldest)
	}
}

// CacheEvent is a change to a server's cache.
type CacheEvent struct {
	Seq     uint64
	Stored  []Block
	Evicted []Block
	Cleared bool
}

// Apply applies a cache event of a server. Events with an old sequence number are dropped. After a
// gap in the sequence the server's entries are uncertain until it clears its cache.
func (x *Index) Apply(server string, e CacheEvent) {
	c := x.servers[server]
	if c == nil {
		c = &serverCache{next: e.Seq}
		x.servers[server] = c
	}
	if e.Seq < c.next {
		return
	}
	if e.Seq > c.next {
		c.uncertain = true
	}
	c.next = e.Seq + 1
	if e.Cleared {
		x.Forget(server)
		x.servers[server] = &serverCache{next: e.Seq + 1}
	}
	for _, b := range e.Stored {
		x.add(server, b)
	}
	for _, b := range e.Evicted {
		x.evict(server, b)
	}
}

func (x *Index) evict(server string, b Block) {
	el := x.byBlock[b]
	if el == nil {
		return
	}
	p := el.Value.(*cachedBlock)
	p.remove(server)
	if len(p.servers) == 0 {
		delete(x.byBlock, b)
		x.order.Remove(el)
	}
}

// Forget removes all entries of a server that has restarted or left. It costs O(blocks in the
// index).
func (x *Index) Forget(server string) {
	delete(x.servers, server)
	for b := range x.byBlock {
		x.evict(server, b)
	}
}

// ExpectedCachedBlocks returns the number of leading blocks of a prompt that the server is expected to have
// cached, discounted if its events had a gap.
func (x *Index) ExpectedCachedBlocks(server string, prompt []Block) float64 {
	n := 0
	for _, b := range prompt {
		el := x.byBlock[b]
		if el == nil || !slices.Contains(el.Value.(*cachedBlock).servers, server) {
			break
		}
		n++
	}
	if c := x.servers[server]; c != nil && c.uncertain {
		return uncertainFactor * float64(n)
	}
	return float64(n)
}
