//! What an upstream can take at the same time, and what it has to do already.

use std::ops::{Add, Sub};

use dotterellane_units::TokenCount;
use serde::{Deserialize, Serialize};

/// Number of slots for each request that may wait in the queue of an upstream.
const SLOTS_PER_QUEUED: u32 = 2;

/// The tokens of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Tokens that the response is expected to have.
    pub expected_output: TokenCount,
    /// Maximum tokens of the response.
    pub max_output: TokenCount,
}

impl RequestSize {
    /// Returns the memory that the request takes at most, in tokens.
    pub fn max_memory(&self) -> TokenCount {
        self.prompt + self.max_output
    }
}

/// What an upstream can take at the same time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCapacity {
    /// Requests that it runs concurrently; further ones wait in its queue.
    pub slots: u32,
    /// Memory for the tokens of its requests; `None` if it does not state any.
    pub memory: Option<TokenCount>,
}

impl UpstreamCapacity {
    /// Returns the number of requests that it should have at most: those beyond its slots keep it
    /// at work until hosts hear that a slot is free.
    pub fn max_requests(&self) -> u32 {
        self.slots.saturating_add(self.slots / SLOTS_PER_QUEUED)
    }
}

/// The requests that an upstream has from all hosts, as far as this host knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Memory that these requests take at most, in tokens.
    pub memory: TokenCount,
}

impl UpstreamLoad {
    /// Returns the lower number of requests and the lower memory of both.
    pub fn min(self, other: Self) -> Self {
        Self { requests: self.requests.min(other.requests), memory: self.memory.min(other.memory) }
    }
}

impl Add for UpstreamLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            memory: self.memory + other.memory,
        }
    }
}

impl Sub for UpstreamLoad {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            memory: self.memory - other.memory,
        }
    }
}

/// What an upstream can take and what it has already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamRoom {
    /// What it can take.
    pub capacity: UpstreamCapacity,
    /// What it has.
    pub load: UpstreamLoad,
}
