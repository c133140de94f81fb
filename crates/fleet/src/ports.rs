//! Interface between the code that serves callers and the fleet: freshness, charges and permits.

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

/// Whether this daemon may admit requests with an API key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessState {
    /// The daemon knows all configuration, member and slot changes that are in force.
    Fresh,
    /// The daemon may have missed a change; requests are refused as not run.
    Stale,
}

/// A charge of tokens to a team, made before anything is sent upstream.
#[derive(Clone, Debug)]
pub struct ChargeRequest {
    /// Request that the charge is for.
    pub request: RequestId,
    /// Team to charge.
    pub team: TeamId,
    /// Sum of the prompt tokens and the requested maximum output.
    pub tokens: TokenCount,
    /// Time by which the caller must have its response.
    pub deadline: ClockInstant,
}

/// A completed charge; unused tokens go back through [`FleetPorts::refund`].
#[derive(Clone, Debug)]
pub struct ChargeReceipt {
    /// Team that was charged.
    pub team: TeamId,
    /// Tokens that were charged.
    pub tokens: TokenCount,
}

/// Why a charge was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum ChargeRefusal {
    /// The team's rate does not provide the tokens before the deadline.
    #[error("the team is over its rate; retry after {} s", retry_after.as_secs())]
    OverRate {
        /// Time until the tokens can be available.
        retry_after: Duration,
    },
    /// The request needs more tokens than the team's burst.
    #[error("the request needs {tokens} tokens, more than the team's burst of {burst}")]
    OverBurst {
        /// Tokens that the request needs.
        tokens: TokenCount,
        /// Burst of the team, the most that it can be charged at once.
        burst: TokenCount,
    },
    /// The ledger that holds the team's tokens does not answer, this daemon is not fresh, or the
    /// team is unknown.
    #[error("the team's share cannot be reached")]
    Unreachable,
}

/// A request for a permit to run on a replica of a model.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Request that the permit is for.
    pub request: RequestId,
    /// Team that the request runs for.
    pub team: TeamId,
    /// Model that the request needs.
    pub model: ModelId,
    /// Adapter that the request needs on top of the model.
    pub adapter: Option<AdapterId>,
    /// Tokens that were charged for the request.
    pub tokens: TokenCount,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Runners that have failed this request already and must not be chosen.
    pub excluded: Vec<UpstreamId>,
    /// Time by which the caller must have its response.
    pub deadline: ClockInstant,
}

/// A permit to send one request to a runner; given back through [`FleetPorts::release`].
#[derive(Clone, Debug)]
pub struct DispatchPermit {
    /// Number by which the dispatcher identifies the permit.
    pub number: u64,
    /// Request that the permit is for.
    pub request: RequestId,
    /// Model that the request needs.
    pub model: ModelId,
    /// Runner that the request must be sent to.
    pub runner: UpstreamId,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Priority in the runner's engine; lower values run first.
    pub priority: u32,
}

/// Why no permit was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum PermitRefusal {
    /// No replica is expected to be loaded and free before the deadline.
    #[error("{model} cannot run the request in time; retry after {} s", retry_after.as_secs())]
    TooLate {
        /// Model that the request needs.
        model: ModelId,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The dispatcher's queue of the model is full.
    #[error("the queue of {model} is full; retry after {} s", retry_after.as_secs())]
    QueueFull {
        /// Model that the request needs.
        model: ModelId,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// No runner has a slot for the model, or the model is not configured.
    #[error("no runner can hold {model}")]
    NoRunner {
        /// Model that the request needs.
        model: ModelId,
    },
}

/// How the upstream call that used a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The runner sent a complete response.
    Answered,
    /// The runner refused the request before running it.
    Refused,
    /// The connection broke, or the runner sent nothing for too long.
    Broken,
    /// The caller disconnected, or the permit was not used.
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

/// Calls to the fleet from the code that serves callers. Clones share the same fleet.
#[derive(Clone)]
pub struct FleetPorts {
    /// Clock that deadlines refer to.
    pub clock: ClockSource,
    /// Newest configuration that this daemon has applied.
    pub configuration: ConfigurationFeed,
    freshness: Arc<FreshnessCall>,
    charge: Arc<ChargeCall>,
    refund: Arc<RefundCall>,
    permit: Arc<PermitCall>,
    release: Arc<ReleaseCall>,
}

impl FleetPorts {
    /// Builds ports that are always fresh, accept every charge without counting it, and have no
    /// runner. The `with_` methods replace these defaults.
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

    /// Sets the function that returns the freshness.
    #[must_use]
    pub fn with_freshness<F>(mut self, freshness: F) -> Self
    where
        F: Fn() -> FreshnessState + Send + Sync + 'static,
    {
        self.freshness = Arc::new(freshness);
        self
    }

    /// Sets the functions that charge and refund teams.
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

    /// Sets the functions that request and release permits.
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

    /// Returns whether this daemon may admit requests with an API key.
    pub fn freshness(&self) -> FreshnessState {
        (self.freshness)()
    }

    /// Charges a team, waiting for tokens as long as they are expected before the deadline.
    ///
    /// # Errors
    /// Fails if the tokens are not available before the deadline, are more than the team's burst,
    /// or the team's ledger cannot be reached.
    pub async fn charge(&self, request: ChargeRequest) -> Result<ChargeReceipt, ChargeRefusal> {
        (self.charge)(request).await
    }

    /// Returns `unused` tokens of a charge to the team.
    pub fn refund(&self, receipt: ChargeReceipt, unused: TokenCount) {
        (self.refund)(receipt, unused);
    }

    /// Waits for a permit to run on a replica; dropping the future withdraws the request.
    ///
    /// # Errors
    /// Fails as soon as it is clear that no replica can run the request in time.
    pub async fn permit(&self, request: PermitRequest) -> Result<DispatchPermit, PermitRefusal> {
        (self.permit)(request).await
    }

    /// Returns a permit to its dispatcher, with the outcome of the call.
    pub fn release(&self, permit: DispatchPermit, outcome: CallOutcome) {
        (self.release)(permit, outcome);
    }
}

impl fmt::Debug for FleetPorts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetPorts")
    }
}
