//! Answers that the gateway gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use crate::body::GatewayBody;

/// When a caller should come back, to another host, after this one was asked to stop.
const LEAVING_RETRY: Duration = Duration::from_millis(50);

/// An answer that the gateway gives itself, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayRefusal {
    /// Status.
    pub status: StatusCode,
    /// Reason, also a label of metrics.
    pub reason: &'static str,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

impl GatewayRefusal {
    /// A final answer of which coming back changes nothing.
    pub const fn fixed(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Nothing was run, and coming back may help.
    pub const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, reason, retry_after: Some(retry_after) }
    }

    /// Nothing was run, as this host leaves; another one may serve the caller.
    pub const fn leaving() -> Self {
        Self::not_run("leaving", LEAVING_RETRY)
    }

    /// The team is over its rate until the tokens are there.
    pub const fn over_rate(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "over_rate",
            retry_after: Some(retry_after),
        }
    }

    /// An upstream may have run the request and gave no answer that can be passed on.
    pub const fn upstream_failed(reason: &'static str) -> Self {
        Self::fixed(StatusCode::BAD_GATEWAY, reason)
    }

    /// The time is over and an upstream may have run the request.
    pub const fn timed_out() -> Self {
        Self::fixed(StatusCode::GATEWAY_TIMEOUT, "timed_out")
    }

    /// Returns the answer.
    pub fn into_response(self) -> Response<GatewayBody> {
        let body = Bytes::from(format!("{{\"error\":\"{}\"}}\n", self.reason));
        let mut response = Response::new(GatewayBody::whole(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(span) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", span.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
