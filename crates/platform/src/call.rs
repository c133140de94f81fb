//! One call to a service of the platform, as all its clients make it.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::time::timeout;

use crate::TableError;

/// How a call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// Nothing took effect.
    NotApplied(String),
    /// It may have taken effect.
    Unknown(String),
}

impl CallFailure {
    /// Returns the error of a table that failed like this in `step`.
    pub fn into_error(self, step: &'static str, peer: SocketAddr) -> TableError {
        let peer = peer.to_string();
        match self {
            Self::NotApplied(cause) => TableError::Unavailable { step, peer, cause },
            Self::Unknown(cause) => TableError::AnswerLost { step, peer, cause },
        }
    }
}

/// Makes a call within `span` and reads its answer, `most_bytes` at the longest.
///
/// # Errors
/// Fails if no whole answer comes in time, or the service says that it failed.
pub async fn call_service(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    span: Duration,
    most_bytes: usize,
) -> Result<(StatusCode, Bytes), CallFailure> {
    let exchange = async {
        let answer = client.request(request).await.map_err(|error| {
            let source = error.source().map(ToString::to_string).unwrap_or_default();
            let text = format!("{error}: {source}");
            if error.is_connect() {
                CallFailure::NotApplied(text)
            } else {
                CallFailure::Unknown(text)
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), most_bytes).collect().await;
        let body = body.map_err(|error| CallFailure::Unknown(error.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    let late = |_elapsed| CallFailure::Unknown(format!("no answer in {span:?}"));
    let (status, body) = timeout(span, exchange).await.map_err(late)??;
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Err(CallFailure::NotApplied(status.to_string())),
        status if status.is_server_error() => Err(CallFailure::Unknown(status.to_string())),
        status => Ok((status, body)),
    }
}
