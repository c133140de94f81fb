//! Refusals in the JSON format of the OpenAI API, as client libraries expect it.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_fleet::{ChargeRefusal, PermitRefusal};
use dotterellane_units::TokenCount;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body::EntryBody;

/// Header on refusals of requests of which certainly no upstream ran anything.
pub const NOT_RUN: HeaderName = HeaderName::from_static("dotterellane-not-run");

const LIMIT_TOKENS: HeaderName = HeaderName::from_static("x-ratelimit-limit-tokens");
const REMAINING_TOKENS: HeaderName = HeaderName::from_static("x-ratelimit-remaining-tokens");
const RESET_TOKENS: HeaderName = HeaderName::from_static("x-ratelimit-reset-tokens");

/// Time after which a caller may retry if no better estimate exists.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalKind {
    /// The request is malformed.
    Malformed,
    /// The request has no valid key.
    Unauthenticated,
    /// The team may not call this model or service.
    Forbidden,
    /// The path, model or service does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The caller sent the request or read the response too slowly.
    SlowCaller,
    /// An earlier call with the same idempotency key has no recorded response.
    Conflict,
    /// The body of the request is too large.
    TooLarge,
    /// The request is well formed but violates a limit or rule.
    Unprocessable,
    /// The request is quarantined because it crashed upstreams.
    Quarantined,
    /// The team is over its rate limit.
    OverRate,
    /// No upstream sent a complete response.
    UpstreamFailed,
    /// No upstream can serve the request at the moment, or the store is down.
    Unavailable,
    /// This daemon may lack a change of the configuration.
    Stale,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The key was withdrawn while the request was in flight.
    KeyWithdrawn,
}

impl RefusalKind {
    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unauthenticated | Self::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Self::Conflict => StatusCode::CONFLICT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unprocessable | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::Unavailable | Self::Stale => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the error code for programs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed_request",
            Self::Unauthenticated => "invalid_api_key",
            Self::Forbidden => "not_allowed",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::SlowCaller => "request_timeout",
            Self::Conflict => "idempotency_conflict",
            Self::TooLarge => "request_too_large",
            Self::Unprocessable => "unprocessable_request",
            Self::Quarantined => "request_quarantined",
            Self::OverRate => "rate_limit_exceeded",
            Self::UpstreamFailed => "upstream_failed",
            Self::Unavailable => "unavailable",
            Self::Stale => "host_not_fresh",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::KeyWithdrawn => "key_withdrawn",
        }
    }

    fn error_type(self) -> &'static str {
        match self {
            Self::Unauthenticated | Self::KeyWithdrawn => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::OverRate => "rate_limit_error",
            Self::UpstreamFailed | Self::Unavailable | Self::Stale | Self::DeadlineExceeded => {
                "server_error"
            }
            _ => "invalid_request_error",
        }
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Refusal of a request, as the caller receives it.
#[derive(Clone, Debug)]
pub struct EntryRefusal {
    /// Reason for the refusal; determines status and error code.
    pub kind: RefusalKind,
    /// Explanation for people.
    pub message: String,
    /// Whether certainly no upstream ran anything of the request.
    pub not_run: bool,
    /// Time after which the caller may retry, `None` if there is no estimate.
    pub retry_after: Option<Duration>,
    /// Burst of the team if the request was refused by its rate limit, for the response headers.
    pub burst: Option<TokenCount>,
}

impl EntryRefusal {
    /// Creates a refusal of a request of which nothing was sent upstream.
    pub fn before_sending<M>(kind: RefusalKind, message: M) -> Self
    where
        M: Into<String>,
    {
        let retry_after = matches!(kind, RefusalKind::Unavailable | RefusalKind::Stale)
            .then_some(DEFAULT_RETRY_AFTER);
        Self { kind, message: message.into(), not_run: true, retry_after, burst: None }
    }

    /// Clears `not_run` if the request has `reached` an upstream, which may have run it.
    #[must_use]
    pub fn with_reached(mut self, reached: bool) -> Self {
        self.not_run &= !reached;
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the JSON body of the refusal.
    pub fn to_json(&self) -> Vec<u8> {
        let detail = ErrorDetail {
            message: &self.message,
            r#type: self.kind.error_type(),
            param: None,
            code: self.kind.code(),
        };
        serde_json::to_vec(&ErrorDocument { error: detail }).unwrap_or_default()
    }

    /// Returns the server-sent event that ends a stream with this refusal.
    pub fn to_event(&self) -> Bytes {
        let mut event = b"data: ".to_vec();
        event.extend(self.to_json());
        event.extend(b"\n\n");
        event.into()
    }

    /// Returns the HTTP response.
    pub fn to_response(&self) -> Response<EntryBody> {
        let mut response = Response::new(EntryBody::full(self.to_json()));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.not_run {
            headers.insert(NOT_RUN, HeaderValue::from_static("true"));
        }
        if let Some(retry_after) = self.retry_after {
            headers.insert(RETRY_AFTER, ceil_seconds(retry_after).into());
        }
        self.add_rate_headers(headers);
        response
    }

    fn add_rate_headers(&self, headers: &mut HeaderMap) {
        if self.kind != RefusalKind::OverRate {
            return;
        }
        headers.insert(REMAINING_TOKENS, HeaderValue::from_static("0"));
        if let Some(burst) = self.burst {
            headers.insert(LIMIT_TOKENS, burst.0.into());
        }
        if let Some(retry_after) = self.retry_after {
            let text = format!("{}s", ceil_seconds(retry_after));
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RESET_TOKENS, value);
            }
        }
    }
}

impl From<ChargeRefusal> for EntryRefusal {
    fn from(refusal: ChargeRefusal) -> Self {
        let message = refusal.to_string();
        match refusal {
            ChargeRefusal::OverRate { retry_after } => {
                Self::before_sending(RefusalKind::OverRate, message).with_retry_after(retry_after)
            }
            ChargeRefusal::OverBurst { .. } => {
                Self::before_sending(RefusalKind::Unprocessable, message)
            }
            ChargeRefusal::Unreachable => Self::before_sending(RefusalKind::Unavailable, message),
        }
    }
}

impl From<PermitRefusal> for EntryRefusal {
    fn from(refusal: PermitRefusal) -> Self {
        let message = refusal.to_string();
        let denial = Self::before_sending(RefusalKind::Unavailable, message);
        match refusal {
            PermitRefusal::TooLate { retry_after, .. }
            | PermitRefusal::QueueFull { retry_after, .. } => denial.with_retry_after(retry_after),
            PermitRefusal::NoRunner { .. } => denial,
        }
    }
}

#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    param: Option<&'a str>,
    code: &'a str,
}

/// Rounds up to at least one second, so that callers do not retry too early.
fn ceil_seconds(span: Duration) -> u64 {
    span.as_millis().div_ceil(1_000).max(1).try_into().unwrap_or(u64::MAX)
}
