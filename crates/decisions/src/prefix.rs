//! Tracks which prompt prefixes a runner has cached, from cache events that may be late or missing.

use std::collections::{HashSet, VecDeque};

/// Largest number of blocks tracked per runner; the oldest are dropped first.
const MAX_BLOCKS: usize = 8_192;

/// Event of a runner's prefix cache; blocks are identified by their hashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// Blocks were added to the cache.
    Stored(Vec<u64>),
    /// Blocks were evicted from the cache.
    Dropped(Vec<u64>),
    /// All cached blocks; the response to a request for a listing.
    Listed(Vec<u64>),
}

/// The dispatcher's view of one runner's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixView {
    blocks: HashSet<u64>,
    /// Blocks in the order in which they were added, oldest first.
    order: VecDeque<u64>,
    /// Sequence number of the next event; `None` while a listing is awaited.
    next_sequence: Option<u64>,
}

impl PrefixView {
    /// Applies an event; returns whether the runner must be asked for a listing because events are
    /// missing.
    ///
    /// Ignores events older than those applied so far, except listings.
    pub fn on_event(&mut self, sequence: u64, event: CacheEvent) -> bool {
        if let CacheEvent::Listed(blocks) = event {
            self.clear();
            self.next_sequence = Some(sequence + 1);
            self.note_stored(&blocks);
            return false;
        }
        match self.next_sequence {
            Some(next) if sequence < next => return false,
            Some(next) if sequence == next => (),
            // A missed event may have evicted any block.
            _ => {
                self.clear();
                self.next_sequence = None;
                return true;
            }
        }
        self.next_sequence = Some(sequence + 1);
        match event {
            CacheEvent::Stored(blocks) | CacheEvent::Listed(blocks) => self.note_stored(&blocks),
            CacheEvent::Dropped(blocks) => {
                for block in blocks {
                    self.blocks.remove(&block);
                }
            }
        }
        false
    }

    /// Adds blocks that are cached, or will be once a request that was just sent has run.
    pub fn note_stored(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.blocks.insert(*block) {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Returns how many leading blocks of `prefix` are cached.
    pub fn matched(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|block| self.blocks.contains(block)).count()
    }

    /// Drops all blocks, as after a restart of the runner.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
