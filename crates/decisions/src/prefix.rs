//! Which prompt prefixes a runner has cached, from its late and gapped events.

use std::collections::{HashSet, VecDeque};

/// Most blocks remembered for one runner.
const MAX_BLOCKS: usize = 8_192;

/// What a runner said of its prefix cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// Blocks were cached.
    Stored(Vec<u64>),
    /// Blocks were dropped.
    Dropped(Vec<u64>),
    /// Everything cached is listed; answers a request to list.
    Listed(Vec<u64>),
}

/// The prefix cache of one runner as the dispatcher believes it to be.
#[derive(Clone, Debug, Default)]
pub struct PrefixView {
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
    next_sequence: Option<u64>,
}

impl PrefixView {
    /// Takes in an event; tells whether the runner has to be asked for a listing, since events
    /// are missing.
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
            // What was missed may have dropped any block.
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

    /// Assumes that a request just sent will leave its blocks in the cache.
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

    /// Returns the number of leading blocks of `prefix` that are cached.
    pub fn matched(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|block| self.blocks.contains(block)).count()
    }

    /// Forgets everything, as after a restart of the runner.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
