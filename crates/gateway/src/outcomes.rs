//! What came of one attempt to send a request, and what that shows about the upstream.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_units::{ClockInstant, UpstreamId};
use http::Response;
use hyper::body::Incoming;

use crate::beside::note_replaced;
use crate::call::ResponseKind;
use crate::directory::REFUSED_COOLDOWN;
use crate::dispatch::RequestProgress;
use crate::exchange::ExchangeError;
use crate::handler::{GatewayCall, model_text};
use crate::notices::{self, NoticeSource};
use crate::peeked::PeekedBody;
use crate::selection::SelectedUpstream;
use crate::state::Host;
use crate::stream_versions::{AllowedVersions, origins};

/// Delay before the next attempt after an upstream was busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The outcome of one attempt.
#[derive(Debug)]
pub enum SendOutcome {
    /// The upstream ran the request and sent a response head.
    Head(Box<SelectedUpstream>, Box<Response<PeekedBody>>),
    /// No byte of the request was sent; it may be sent to another upstream.
    NotSent,
    /// The upstream did not run the request; it may be sent to another one after this delay.
    NotRun(Duration),
    /// No usable response arrived and the request may have run; holds the refusal's reason.
    Broken(&'static str),
}

/// A response head, or why none arrived.
pub type SentHead = Result<Response<Incoming>, ExchangeError>;

/// Turns the result of an attempt into its outcome and records what it shows about the upstream.
pub fn classify(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    progress: &mut RequestProgress,
    selected: SelectedUpstream,
    asked_at: ClockInstant,
    sent: SentHead,
) -> SendOutcome {
    let outcome = classify_sent(host, call, progress, selected, asked_at, sent);
    let label = match &outcome {
        SendOutcome::Head(..) => "answered",
        SendOutcome::NotSent => "not_sent",
        SendOutcome::NotRun(_) => "not_run",
        SendOutcome::Broken(_) => "broken",
    };
    host.metrics.sends.with_label_values(&[label]).inc();
    if matches!(outcome, SendOutcome::NotSent | SendOutcome::NotRun(_)) {
        progress.runs -= 1;
    }
    outcome
}

fn classify_sent(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    progress: &mut RequestProgress,
    selected: SelectedUpstream,
    asked_at: ClockInstant,
    sent: SentHead,
) -> SendOutcome {
    let now = host.now();
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            log_attempt(host, call, progress, &selected.name, &error.to_string());
            return match error {
                ExchangeError::NotSent { failure, .. } => {
                    notices::note_unreachable(host, &selected.name, failure);
                    host.demand_changed.notify_one();
                    progress.sends -= 1;
                    progress.tried.retain(|name| *name != selected.name);
                    SendOutcome::NotSent
                }
                ExchangeError::Withheld { .. } => {
                    progress.sends -= 1;
                    progress.tried.retain(|name| *name != selected.name);
                    SendOutcome::NotSent
                }
                ExchangeError::Broken { .. } => {
                    note_replaced(host, selected);
                    SendOutcome::Broken("upstream_silent_or_reset")
                }
            };
        }
    };
    let kind = (host.wire.classify_response)(
        response.status(),
        response.headers(),
        &call.head.request_id,
        &selected.name,
    );
    if !matches!(kind, ResponseKind::Invalid(_) | ResponseKind::WrongUpstream) {
        let source = NoticeSource {
            upstream: &selected.name,
            started_at: selected.started_at,
            asked_at,
            ends_limit: kind == ResponseKind::Run,
            not_run: kind == ResponseKind::NotRun,
        };
        notices::record(host, source, response.status(), response.headers());
    }
    match kind {
        ResponseKind::Run if !is_at_version(host, progress, &selected) => {
            log_attempt(host, call, progress, &selected.name, "upstream was restarted meanwhile");
            SendOutcome::Broken("upstream_restarted")
        }
        ResponseKind::Run => {
            let response = response.map(PeekedBody::new);
            SendOutcome::Head(Box::new(selected), Box::new(response))
        }
        ResponseKind::NotRun => {
            log_attempt(host, call, progress, &selected.name, "upstream did not run the request");
            SendOutcome::NotRun(BUSY_RETRY_DELAY)
        }
        ResponseKind::ModelNotHeld => {
            log_attempt(host, call, progress, &selected.name, "upstream does not hold the model");
            if let Some(choice) = &call.head.model {
                host.state().directory.note_miss(now, &selected.name, choice.clone());
            }
            progress.tried.retain(|name| *name != selected.name);
            SendOutcome::NotRun(Duration::ZERO)
        }
        ResponseKind::WrongUpstream => {
            log_attempt(
                host,
                call,
                progress,
                &selected.name,
                "another upstream responded at its address",
            );
            host.state().directory.note_unreachable(now, &selected.name, REFUSED_COOLDOWN);
            host.demand_changed.notify_one();
            SendOutcome::NotRun(Duration::ZERO)
        }
        ResponseKind::Invalid(cause) => {
            log_attempt(host, call, progress, &selected.name, cause);
            SendOutcome::Broken("answer_foreign")
        }
    }
}

/// Returns whether the row of an upstream still states the start and the version for which it was
/// selected, if the version matters.
fn is_at_version(host: &Host, progress: &RequestProgress, selected: &SelectedUpstream) -> bool {
    progress.allowed == AllowedVersions::All || origins::is_unchanged(&host.state(), selected)
}

/// Logs why an attempt ended without a response.
pub fn log_attempt(
    host: &Host,
    call: &GatewayCall,
    progress: &RequestProgress,
    upstream: &UpstreamId,
    cause: &str,
) {
    spdlog::info!("attempt ended without a response", kv: {
        request = call.head.request_id.as_str(),
        upstream = upstream.as_str(),
        model = model_text(call.head.model.as_ref()).as_str(),
        cause = cause,
        sends = progress.sends,
        after_ms = host.now().since(call.arrived).as_millis() as u64,
    });
}
