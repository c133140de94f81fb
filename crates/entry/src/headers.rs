//! Which headers pass between callers and upstreams.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Header that tells an engine how many chunks of a broken stream the caller already has.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-resume-from");

/// Header with the priority at the engine; smaller runs first.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

const TO_RUNNERS: [HeaderName; 1] = [header::ACCEPT];

const FROM_RUNNERS: [HeaderName; 2] = [header::CONTENT_TYPE, header::CACHE_CONTROL];

/// Returns the caller's headers that a runner may see.
pub fn runner_headers(from_caller: &HeaderMap) -> HeaderMap {
    let mut headers = pick(from_caller, &TO_RUNNERS);
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

/// Returns a runner's headers that the caller may see.
pub fn runner_answer_headers(from_runner: &HeaderMap) -> HeaderMap {
    pick(from_runner, &FROM_RUNNERS)
}

pub(crate) fn pick(from: &HeaderMap, allowed: &[HeaderName]) -> HeaderMap {
    let mut picked = HeaderMap::with_capacity(allowed.len() + 4);
    for name in allowed {
        for value in from.get_all(name) {
            picked.append(name.clone(), value.clone());
        }
    }
    picked
}
