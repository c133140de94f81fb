//! Messages between entries and the dispatcher of a model.
//!
//! A permit reserves a place on a runner for one request. An entry, the part of a daemon that
//! serves callers, acquires a permit before it sends a request to a runner and releases it when the
//! call has ended. Each model has one dispatcher in the fleet, which queues the requests and picks
//! the runners.
use std::time::Duration;

use dotterellane_units::{AdapterId, ModelId, RequestId, TeamId, TokenCount, UpstreamId};
use serde::{Deserialize, Serialize};

/// Asks the dispatcher of `model` for a permit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AcquireRequest {
    /// Caller's request that needs the permit.
    pub request: RequestId,
    /// Team that the request is charged to.
    pub team: TeamId,
    /// Model that the request is for.
    pub model: ModelId,
    /// Adapter that the request is for, `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// Tokens charged to the team: estimated prompt plus largest output.
    pub tokens: TokenCount,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Runners that already failed this request.
    pub excluded: Vec<UpstreamId>,
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// Why the dispatcher denies a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PermitDenial {
    /// No replica will be ready and have a free place before the deadline.
    TooLate,
    /// The model's queue is full.
    QueueFull,
    /// No runner of the fleet can hold the model.
    NoRunner,
}

/// How the call that a permit was for ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PermitOutcome {
    /// The runner sent a complete response.
    Answered,
    /// The runner refused the request before it ran any of it.
    Refused,
    /// The connection broke or timed out.
    Broken,
    /// The caller disconnected, or the permit was not used.
    Abandoned,
}

/// Messages between entries and the dispatcher of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DispatchMessage {
    /// Entry to dispatcher: requests a permit; repeated until it is answered.
    Acquire(AcquireRequest),
    /// Entry to dispatcher: cancels the request for a permit.
    Withdraw {
        /// Model of the [`AcquireRequest`].
        model: ModelId,
        /// Request that the permit was wanted for.
        request: RequestId,
    },
    /// Dispatcher to entry: the request is in the queue.
    Queued {
        /// Request that waits for a permit.
        request: RequestId,
    },
    /// Dispatcher to entry: grants a permit.
    Granted {
        /// Request that the permit is for.
        request: RequestId,
        /// Number that identifies the permit at its dispatcher.
        number: u64,
        /// Runner that the request must be sent to.
        runner: UpstreamId,
        /// Priority at the runner's engine; smaller runs first.
        priority: u32,
    },
    /// Dispatcher to entry: denies a permit.
    Refused {
        /// Request that the permit was wanted for.
        request: RequestId,
        /// Reason for the denial.
        denial: PermitDenial,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Entry to dispatcher: gives a permit back; sent once, since the dispatcher takes back a
    /// permit by itself at the deadline of its request.
    Release {
        /// Model that the permit is for.
        model: ModelId,
        /// Request that held the permit.
        request: RequestId,
        /// Number of the permit, from [`DispatchMessage::Granted`].
        number: u64,
        /// How the call to the runner ended.
        outcome: PermitOutcome,
    },
}
