//! What the operators' side asks of the fleet.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_units::{ConfigVersion, HostId, OperatorId, RequestId};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ConfigurationFeed, ConfigurationSnapshot};

/// A change of the configuration that an operator asks for; already validated.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// Names the change, so that one whose answer was lost is found again and not made twice.
    pub change: RequestId,
    /// Version that the change was made from.
    pub expected: ConfigVersion,
    /// Who asks.
    pub operator: OperatorId,
    /// What the operator says of the change.
    pub summary: String,
    /// The whole document as it shall be.
    pub document: ConfigurationDocument,
}

/// One accepted change, as history shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeRecord {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Names the change.
    pub change: RequestId,
    /// Who asked.
    pub operator: OperatorId,
    /// What the operator said of it.
    pub summary: String,
    /// Seconds since the Unix epoch, on the clock of the host that accepted it.
    pub accepted_at: u64,
}

/// How far a version has come into force.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeProgress {
    /// The version.
    pub version: ConfigVersion,
    /// Whether every daemon that admits requests follows it.
    pub in_force: bool,
    /// Listed hosts that have not confirmed it.
    pub outstanding: Vec<HostId>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum ProposalError {
    /// Another change came first.
    #[error("the document is at version {}, not at the expected one", current.version)]
    Raced {
        /// The newest document.
        current: Arc<ConfigurationSnapshot>,
    },
    /// The table is down: nothing was accepted.
    #[error("{step}: the platform's table is down, no change can be accepted: {cause}")]
    TableDown {
        /// What was done.
        step: &'static str,
        /// What was seen.
        cause: String,
    },
    /// It is not known whether the change was accepted; ask again with the same change id.
    #[error("{step}: it is not known whether the change was accepted: {cause}")]
    Unknown {
        /// What was done.
        step: &'static str,
        /// What was seen.
        cause: String,
    },
}

type ProposeCall =
    dyn Fn(ProposedChange) -> BoxFuture<'static, Result<ChangeRecord, ProposalError>> + Send + Sync;
type ProgressCall = dyn Fn(ConfigVersion) -> ChangeProgress + Send + Sync;
type HistoryCall =
    dyn Fn(usize) -> BoxFuture<'static, Result<Vec<ChangeRecord>, ProposalError>> + Send + Sync;
type ContentCall = dyn Fn(ConfigVersion) -> BoxFuture<'static, Result<Option<ConfigurationSnapshot>, ProposalError>>
    + Send
    + Sync;

/// What the operators' side asks of the fleet. Clones share the same fleet.
#[derive(Clone)]
pub struct AdministrationPorts {
    /// Configuration that the daemon follows.
    pub configuration: ConfigurationFeed,
    propose: Arc<ProposeCall>,
    progress: Arc<ProgressCall>,
    history: Arc<HistoryCall>,
    content: Arc<ContentCall>,
}

impl AdministrationPorts {
    /// Builds the ports from their calls.
    pub fn new<P, PF, G, H, HF, C, CF>(
        configuration: ConfigurationFeed,
        propose: P,
        progress: G,
        history: H,
        content: C,
    ) -> Self
    where
        P: Fn(ProposedChange) -> PF + Send + Sync + 'static,
        PF: Future<Output = Result<ChangeRecord, ProposalError>> + Send + 'static,
        G: Fn(ConfigVersion) -> ChangeProgress + Send + Sync + 'static,
        H: Fn(usize) -> HF + Send + Sync + 'static,
        HF: Future<Output = Result<Vec<ChangeRecord>, ProposalError>> + Send + 'static,
        C: Fn(ConfigVersion) -> CF + Send + Sync + 'static,
        CF: Future<Output = Result<Option<ConfigurationSnapshot>, ProposalError>> + Send + 'static,
    {
        Self {
            configuration,
            propose: Arc::new(move |change| Box::pin(propose(change))),
            progress: Arc::new(progress),
            history: Arc::new(move |limit| Box::pin(history(limit))),
            content: Arc::new(move |version| Box::pin(content(version))),
        }
    }

    /// Accepts a change if the document is still at the expected version.
    ///
    /// Repeating a change with the same id gives the first acceptance again.
    ///
    /// # Errors
    /// Fails if another change came first or the table does not answer.
    pub async fn propose(&self, change: ProposedChange) -> Result<ChangeRecord, ProposalError> {
        (self.propose)(change).await
    }

    /// Tells how far `version` has come into force.
    pub fn progress(&self, version: ConfigVersion) -> ChangeProgress {
        (self.progress)(version)
    }

    /// Returns the newest `limit` changes, newest first.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn history(&self, limit: usize) -> Result<Vec<ChangeRecord>, ProposalError> {
        (self.history)(limit).await
    }

    /// Returns the document as it was at `version`, `None` if it is not kept any more.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn content(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<ConfigurationSnapshot>, ProposalError> {
        (self.content)(version).await
    }
}

impl fmt::Debug for AdministrationPorts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdministrationPorts")
    }
}
