//! What the entry asks of the fleet.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_units::{
    AdapterId, ClockInstant, ClockSource, ModelId, RequestId, TeamId, TokenCount, UpstreamId,
};
use futures::future::BoxFuture;
use thiserror::Error;

use crate::ConfigurationFeed;

/// Whether this daemon may admit keyed requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessState {
    /// The daemon knows all hard state that is in force.
    Fresh,
    /// The daemon may have missed a change; requests are refused, "not run".
    Stale,
}

/// A charge to a team's share, before anything is sent upstream.
#[derive(Clone, Debug)]
pub struct ChargeRequest {
    /// Request that is charged for.
    pub request: RequestId,
    /// Team that pays.
    pub team: TeamId,
    /// Prompt tokens and requested maximum output together.
    pub tokens: TokenCount,
    /// When the caller must have been answered.
    pub deadline: ClockInstant,
}

/// A charge that was made.
#[derive(Clone, Debug)]
pub struct ChargeReceipt {
    /// Team that paid.
    pub team: TeamId,
    /// Tokens taken from its share.
    pub tokens: TokenCount,
}

/// Why a charge was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum ChargeRefusal {
    /// The team's share does not yield the tokens before the deadline.
    #[error("the team is over its rate; retry after {} s", retry_after.as_secs())]
    OverRate {
        /// When the tokens will be there at the earliest.
        retry_after: Duration,
    },
    /// The request needs more tokens than the team's burst.
    #[error("the request needs {tokens} tokens, more than the team's burst of {burst}")]
    OverBurst {
        /// Tokens needed.
        tokens: TokenCount,
        /// The team's burst.
        burst: TokenCount,
    },
    /// The team's share cannot be reached, or the team is unknown.
    #[error("the team's share cannot be reached")]
    Unreachable,
}

/// A request for a place on a runner.
#[derive(Clone, Debug)]
pub struct PermitRequest {
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
    /// When the caller must have been answered.
    pub deadline: ClockInstant,
}

/// A place on a runner; given back through [`FleetPorts::release`].
#[derive(Clone, Debug)]
pub struct DispatchPermit {
    /// Number that the dispatcher knows the permit by.
    pub number: u64,
    /// Request that holds it.
    pub request: RequestId,
    /// Model that runs the request.
    pub model: ModelId,
    /// Runner that the request goes to.
    pub runner: UpstreamId,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Priority at the engine; smaller runs first.
    pub priority: u32,
}

/// Why no permit was given.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum PermitRefusal {
    /// No replica will be ready, or free, before the deadline.
    #[error("{model} cannot run the request in time; retry after {} s", retry_after.as_secs())]
    TooLate {
        /// Model that was asked for.
        model: ModelId,
        /// When to come back.
        retry_after: Duration,
    },
    /// The queue is full.
    #[error("the queue of {model} is full; retry after {} s", retry_after.as_secs())]
    QueueFull {
        /// Model that was asked for.
        model: ModelId,
        /// When to come back.
        retry_after: Duration,
    },
    /// No runner can hold the model.
    #[error("no runner can hold {model}")]
    NoRunner {
        /// Model that was asked for.
        model: ModelId,
    },
}

/// How the call that a permit was for ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The runner answered in full.
    Answered,
    /// The runner refused before it ran anything.
    Refused,
    /// The connection broke or went silent.
    Broken,
    /// The caller went away, or the permit was not used.
    Abandoned,
}

type FreshnessCall = dyn Fn() -> FreshnessState + Send + Sync;
type ChargeCall =
    dyn Fn(ChargeRequest) -> BoxFuture<'static, Result<ChargeReceipt, ChargeRefusal>> + Send + Sync;
type RefundCall = dyn Fn(ChargeReceipt, TokenCount) + Send + Sync;
type PermitCall = dyn Fn(PermitRequest) -> BoxFuture<'static, Result<DispatchPermit, PermitRefusal>>
    + Send
    + Sync;
type ReleaseCall = dyn Fn(DispatchPermit, CallOutcome) + Send + Sync;

/// What the entry asks of the fleet. Clones share the same fleet.
#[derive(Clone)]
pub struct FleetPorts {
    /// Clock that deadlines are read on.
    pub clock: ClockSource,
    /// Configuration that the daemon follows.
    pub configuration: ConfigurationFeed,
    freshness: Arc<FreshnessCall>,
    charge: Arc<ChargeCall>,
    refund: Arc<RefundCall>,
    permit: Arc<PermitCall>,
    release: Arc<ReleaseCall>,
}

impl FleetPorts {
    /// Builds the ports of a fleet that is always fresh, charges nothing and has no runner;
    /// the `with_` functions put the real calls in their place.
    pub fn new(clock: ClockSource, configuration: ConfigurationFeed) -> Self {
        Self {
            clock,
            configuration,
            freshness: Arc::new(|| FreshnessState::Fresh),
            charge: Arc::new(|charge| {
                let receipt = ChargeReceipt { team: charge.team, tokens: charge.tokens };
                Box::pin(std::future::ready(Ok(receipt)))
            }),
            refund: Arc::new(|_, _| ()),
            permit: Arc::new(|permit| {
                let refusal = PermitRefusal::NoRunner { model: permit.model };
                Box::pin(std::future::ready(Err(refusal)))
            }),
            release: Arc::new(|_, _| ()),
        }
    }

    /// Sets how freshness is told.
    #[must_use]
    pub fn with_freshness<F>(mut self, freshness: F) -> Self
    where
        F: Fn() -> FreshnessState + Send + Sync + 'static,
    {
        self.freshness = Arc::new(freshness);
        self
    }

    /// Sets how teams are charged and refunded.
    #[must_use]
    pub fn with_shares<C, CF, R>(mut self, charge: C, refund: R) -> Self
    where
        C: Fn(ChargeRequest) -> CF + Send + Sync + 'static,
        CF: Future<Output = Result<ChargeReceipt, ChargeRefusal>> + Send + 'static,
        R: Fn(ChargeReceipt, TokenCount) + Send + Sync + 'static,
    {
        self.charge = Arc::new(move |request| Box::pin(charge(request)));
        self.refund = Arc::new(refund);
        self
    }

    /// Sets how permits are given and taken back.
    #[must_use]
    pub fn with_dispatch<P, PF, R>(mut self, permit: P, release: R) -> Self
    where
        P: Fn(PermitRequest) -> PF + Send + Sync + 'static,
        PF: Future<Output = Result<DispatchPermit, PermitRefusal>> + Send + 'static,
        R: Fn(DispatchPermit, CallOutcome) + Send + Sync + 'static,
    {
        self.permit = Arc::new(move |request| Box::pin(permit(request)));
        self.release = Arc::new(release);
        self
    }

    /// Tells whether this daemon may admit keyed requests.
    pub fn freshness(&self) -> FreshnessState {
        (self.freshness)()
    }

    /// Charges a team; waits while the tokens will come before the deadline.
    ///
    /// # Errors
    /// Fails if the team's share does not allow the request.
    pub async fn charge(&self, request: ChargeRequest) -> Result<ChargeReceipt, ChargeRefusal> {
        (self.charge)(request).await
    }

    /// Gives back `unused` tokens of a charge.
    pub fn refund(&self, receipt: ChargeReceipt, unused: TokenCount) {
        (self.refund)(receipt, unused);
    }

    /// Waits for a place on a runner; dropping the future withdraws the request.
    ///
    /// # Errors
    /// Fails at once when no place can be had in time.
    pub async fn permit(&self, request: PermitRequest) -> Result<DispatchPermit, PermitRefusal> {
        (self.permit)(request).await
    }

    /// Gives a permit back.
    pub fn release(&self, permit: DispatchPermit, outcome: CallOutcome) {
        (self.release)(permit, outcome);
    }
}

impl fmt::Debug for FleetPorts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetPorts")
    }
}
