//! A single HTTP call to one of the platform's services, with a time limit and a size limit.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::time::timeout;

use crate::TableError;

/// Why a call gave no usable answer, by whether it may have had an effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The request had no effect, so it is safe to send again.
    NotApplied(String),
    /// The request may or may not have taken effect.
    Unknown(String),
    /// The response has a status below 500 and is longer than this number of bytes.
    TooLong(usize),
}

impl CallFailure {
    /// Converts the failure of operation `step` at the table service `peer` to a [`TableError`].
    pub fn into_error(self, step: &'static str, peer: SocketAddr) -> TableError {
        let peer = peer.to_string();
        match self {
            Self::NotApplied(cause) => TableError::Unavailable { step, peer, cause },
            Self::Unknown(cause) => TableError::AnswerLost { step, peer, cause },
            Self::TooLong(max_bytes) => {
                let cause = format!("the response is longer than {max_bytes} bytes");
                TableError::AnswerLost { step, peer, cause }
            }
        }
    }
}

/// Sends `request` and reads the whole response body, up to `max_bytes`, within `time_limit`.
///
/// Returns the response for every status below 500. A failed connection and status 503 count as
/// [`CallFailure::NotApplied`], every other failure as
/// [`CallFailure::Unknown`] or [`CallFailure::TooLong`].
///
/// # Errors
/// Fails if the body is not complete within `time_limit`, is longer than `max_bytes`, or the
/// status is 5xx.
pub async fn call_service(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallFailure> {
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            let source = error.source().map(ToString::to_string).unwrap_or_default();
            let text = format!("{error}: {source}");
            if error.is_connect() {
                CallFailure::NotApplied(text)
            } else {
                CallFailure::Unknown(text)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|error| {
            if error.is::<LengthLimitError>() && !head.status.is_server_error() {
                CallFailure::TooLong(max_bytes)
            } else {
                CallFailure::Unknown(error.to_string())
            }
        })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    let timed_out = |_elapsed| CallFailure::Unknown(format!("no response within {time_limit:?}"));
    let response = timeout(time_limit, exchange).await.map_err(timed_out)??;
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(CallFailure::NotApplied(response.status().to_string()))
        }
        status if status.is_server_error() => Err(CallFailure::Unknown(status.to_string())),
        _ => Ok(response),
    }
}
