//! Client interface of the platform's object store.

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use thiserror::Error;

/// A failed call of the object store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("{step} {key}: object store at {peer}: {cause}")]
pub struct ObjectError {
    /// Operation that failed, such as `get`.
    pub step: &'static str,
    /// Key of the object.
    pub key: String,
    /// Address of the store.
    pub peer: String,
    /// Underlying error, as text.
    pub cause: String,
}

type GetCall =
    dyn Fn(String) -> BoxFuture<'static, Result<Option<Bytes>, ObjectError>> + Send + Sync;
type PutCall = dyn Fn(String, Bytes) -> BoxFuture<'static, Result<(), ObjectError>> + Send + Sync;

/// Client of the object store, independent of its wire format. Objects are immutable once written.
/// Clones share the calls.
#[derive(Clone)]
pub struct ObjectStore {
    get: Arc<GetCall>,
    put: Arc<PutCall>,
}

impl ObjectStore {
    /// Builds a store from its `get` and `put` calls.
    pub fn new<G, GF, P, PF>(get: G, put: P) -> Self
    where
        G: Fn(String) -> GF + Send + Sync + 'static,
        GF: Future<Output = Result<Option<Bytes>, ObjectError>> + Send + 'static,
        P: Fn(String, Bytes) -> PF + Send + Sync + 'static,
        PF: Future<Output = Result<(), ObjectError>> + Send + 'static,
    {
        Self {
            get: Arc::new(move |key| Box::pin(get(key))),
            put: Arc::new(move |key, content| Box::pin(put(key, content))),
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// Fails if the store does not answer.
    pub async fn get<K>(&self, key: K) -> Result<Option<Bytes>, ObjectError>
    where
        K: Into<String>,
    {
        (self.get)(key.into()).await
    }

    /// Writes an object.
    ///
    /// # Errors
    /// Fails if the store does not answer; the object may have been written.
    pub async fn put<K>(&self, key: K, content: Bytes) -> Result<(), ObjectError>
    where
        K: Into<String>,
    {
        (self.put)(key.into(), content).await
    }
}

impl fmt::Debug for ObjectStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObjectStore")
    }
}
