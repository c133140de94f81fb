//! Permits of a model's dispatcher.

use std::time::Duration;

use dotterellane_units::{AdapterId, ModelId, RequestId, TeamId, TokenCount, UpstreamId};
use serde::{Deserialize, Serialize};

/// A request for a place on a runner.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AcquireRequest {
    /// Request that asks.
    pub request: RequestId,
    /// Team that it runs for.
    pub team: TeamId,
    /// Model that runs it.
    pub model: ModelId,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterId>,
    /// Tokens charged.
    pub tokens: TokenCount,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Runners that already failed this request.
    pub excluded: Vec<UpstreamId>,
    /// Time left until the caller must have been answered.
    pub remaining: Duration,
}

/// Why no permit is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PermitDenial {
    /// No replica will be ready, or free, before the deadline.
    TooLate,
    /// The queue is full.
    QueueFull,
    /// No runner can hold the model.
    NoRunner,
}

/// How the call that a permit was for ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PermitOutcome {
    /// The runner answered in full.
    Answered,
    /// The runner refused before it ran anything.
    Refused,
    /// The connection broke or went silent.
    Broken,
    /// The caller went away, or the permit was not used.
    Abandoned,
}

/// Permits of a model's dispatcher.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DispatchMessage {
    /// An entry asks for a permit; repeated until it is answered.
    Acquire(AcquireRequest),
    /// An entry no longer wants a permit.
    Withdraw {
        /// Model that was asked for.
        model: ModelId,
        /// Request that asked.
        request: RequestId,
    },
    /// The dispatcher has the request in its queue.
    Queued {
        /// Request that asked.
        request: RequestId,
    },
    /// The dispatcher gives a permit.
    Granted {
        /// Request that holds it.
        request: RequestId,
        /// Number of the permit.
        number: u64,
        /// Runner that the request goes to.
        runner: UpstreamId,
        /// Priority at the engine; smaller runs first.
        priority: u32,
    },
    /// The dispatcher gives no permit.
    Refused {
        /// Request that asked.
        request: RequestId,
        /// Why.
        denial: PermitDenial,
        /// When to come back.
        retry_after: Duration,
    },
    /// An entry gives a permit back; repeated until it is confirmed.
    Release {
        /// Model that the permit is for.
        model: ModelId,
        /// Request that held it.
        request: RequestId,
        /// Number of the permit.
        number: u64,
        /// How the call ended.
        outcome: PermitOutcome,
    },
}
