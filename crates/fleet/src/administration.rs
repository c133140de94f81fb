//! Interface between the operators' API and the fleet: configuration changes and their history.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_units::{ConfigVersion, HostId, OperatorId, RequestId};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ConfigurationFeed, ConfigurationSnapshot};

/// A configuration change requested by an operator. The document has been validated already.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// Id of the change; a retry after a lost answer uses the same id and is not applied twice.
    pub change: RequestId,
    /// Version that the change was made from; the change is accepted only if it is still the
    /// newest.
    pub expected: ConfigVersion,
    /// Operator that requests the change.
    pub operator: OperatorId,
    /// Description given by the operator.
    pub summary: String,
    /// The complete new document.
    pub document: ConfigurationDocument,
}

/// History entry of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeRecord {
    /// Version that the change created.
    pub version: ConfigVersion,
    /// Id of the change, from [`ProposedChange::change`].
    pub change: RequestId,
    /// Operator that requested the change.
    pub operator: OperatorId,
    /// Description given by the operator.
    pub summary: String,
    /// Time of acceptance in seconds since the Unix epoch, on the clock of the accepting host.
    pub accepted_at: u64,
}

/// Whether a configuration version is in force, and which hosts it still waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ChangeProgress {
    /// Version that was asked about.
    pub version: ConfigVersion,
    /// Whether every daemon that admits requests has applied this version or a newer one.
    pub in_force: bool,
    /// Member hosts that have not confirmed the version; empty once it is in force.
    pub outstanding: Vec<HostId>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum ProposalError {
    /// Another change was accepted first, so the expected version is not the newest any more.
    #[error("the document is at version {}, not at the expected one", current.version)]
    Raced {
        /// The newest configuration that this daemon has applied.
        current: Arc<ConfigurationSnapshot>,
    },
    /// The table is down: the change was not accepted.
    #[error("{step}: the platform's table is down, no change can be accepted: {cause}")]
    TableDown {
        /// Operation that failed.
        step: &'static str,
        /// Underlying error, as text.
        cause: String,
    },
    /// It is not known whether the change was accepted; the caller may retry with the same id.
    #[error("{step}: it is not known whether the change was accepted: {cause}")]
    Unknown {
        /// Operation that failed.
        step: &'static str,
        /// Underlying error, as text.
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

/// Calls that the operators' API makes to the fleet. Clones share the same fleet.
#[derive(Clone)]
pub struct AdministrationPorts {
    /// Newest configuration that this daemon has applied.
    pub configuration: ConfigurationFeed,
    propose: Arc<ProposeCall>,
    progress: Arc<ProgressCall>,
    history: Arc<HistoryCall>,
    content: Arc<ContentCall>,
}

impl AdministrationPorts {
    /// Builds the ports from the configuration feed and the function behind each method.
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

    /// Accepts a change if the newest document still has the expected version.
    ///
    /// Proposing a change again with the same id returns the record of the first acceptance.
    ///
    /// # Errors
    /// Fails if another change was accepted first or the table does not answer.
    pub async fn propose(&self, change: ProposedChange) -> Result<ChangeRecord, ProposalError> {
        (self.propose)(change).await
    }

    /// Returns whether `version` is in force, and which hosts have not confirmed it.
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

    /// Returns the configuration at `version`; `None` if the version is too old or does not exist.
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
