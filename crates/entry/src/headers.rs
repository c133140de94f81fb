//! Headers that are forwarded between callers and upstreams.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Header with the number of chunks of a broken stream that the caller already has; the engine
/// resumes after them.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");

/// Header with the request's priority at the engine; smaller runs first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Headers of a caller's request that are forwarded to a runner; all others are dropped.
const TO_RUNNERS: [HeaderName; 1] = [header::ACCEPT];

/// Headers of a runner's response that are forwarded to the caller.
const FROM_RUNNERS: [HeaderName; 2] = [header::CONTENT_TYPE, header::CACHE_CONTROL];

/// Headers of a caller's request that are forwarded to a plain service.
const TO_SERVICES: [HeaderName; 9] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::IF_MATCH,
    header::IF_MODIFIED_SINCE,
    header::IF_NONE_MATCH,
    header::RANGE,
];

/// Headers of a plain service's response that are forwarded to the caller.
const FROM_SERVICES: [HeaderName; 12] = [
    header::CACHE_CONTROL,
    header::CONTENT_DISPOSITION,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
    header::ETAG,
    header::EXPIRES,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
    header::VARY,
];

/// Returns the headers of a caller's request that are forwarded to a service.
pub fn service_headers(from_caller: &HeaderMap) -> HeaderMap {
    filter_headers(from_caller, &TO_SERVICES)
}

/// Returns the headers of a service's response that are forwarded to the caller.
pub fn service_response_headers(from_service: &HeaderMap) -> HeaderMap {
    filter_headers(from_service, &FROM_SERVICES)
}

/// Returns the headers of a caller's request that are forwarded to a runner.
pub fn runner_headers(from_caller: &HeaderMap) -> HeaderMap {
    let mut headers = filter_headers(from_caller, &TO_RUNNERS);
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

/// Returns the headers of a runner's response that are forwarded to the caller.
pub fn runner_response_headers(from_runner: &HeaderMap) -> HeaderMap {
    filter_headers(from_runner, &FROM_RUNNERS)
}

fn filter_headers(from: &HeaderMap, allowed: &[HeaderName]) -> HeaderMap {
    let mut picked = HeaderMap::with_capacity(allowed.len() + 4);
    for name in allowed {
        for value in from.get_all(name) {
            picked.append(name.clone(), value.clone());
        }
    }
    picked
}
