//! The platform's list of live and leaving hosts, which lags behind by some seconds.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use dotterellane_units::HostId;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::TableError;

/// State of a host according to the platform, which learns of changes some seconds late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The host runs.
    Live,
    /// The host is about to be reclaimed.
    Leaving,
}

/// An entry of the host list. Hosts that no longer exist have none.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostId,
    /// State of the host.
    pub state: ListedState,
}

type ListCall = dyn Fn() -> BoxFuture<'static, Result<Vec<ListedHost>, TableError>> + Send + Sync;

/// Client of the platform's host list, independent of its wire format. Clones share the call.
#[derive(Clone)]
pub struct HostList(Arc<ListCall>);

impl HostList {
    /// Builds a host list from the call that reads it.
    pub fn new<L, LF>(list: L) -> Self
    where
        L: Fn() -> LF + Send + Sync + 'static,
        LF: Future<Output = Result<Vec<ListedHost>, TableError>> + Send + 'static,
    {
        Self(Arc::new(move || Box::pin(list())))
    }

    /// Reads the current list.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    pub async fn list(&self) -> Result<Vec<ListedHost>, TableError> {
        (self.0)().await
    }
}

impl fmt::Debug for HostList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostList")
    }
}
