//! Notices of upstreams: that one is leaving, asks for a pause, has a rate limit, or is cold.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::cold_upstreams::ColdMark;
use dotterellane_decisions::leaving_marks::LeavingMark;
use dotterellane_decisions::rate_limits::{LimitChange, LimitEntry};
use dotterellane_units::{ClockInstant, DomainId, HostId, RequestRate, UpstreamId};
use http::{HeaderMap, HeaderName, StatusCode};
use rand::seq::IteratorRandom;

use crate::call::{LimitNotice, UpstreamNotice};
use crate::directory::{REFUSED_COOLDOWN, UNREACHABLE_COOLDOWN};
use crate::exchange::ConnectFailure;
use crate::leader;
use crate::messages::{KnownLimit, LimitReport, PeerMessage};
use crate::peers::send_to_all;
use crate::permits::heard_fraction;
use crate::reach;
use crate::state::{Host, HostState};

/// Maximum number of unknown notices that are counted by name, as upstreams choose the names.
const MAX_UNKNOWN_NOTICES: usize = 16;

/// Minimum fraction of the hosts that a host must hear to take a failed connection for the
/// upstream's failure, not its own.
const MIN_HEARD_FRACTION: f64 = 0.5;

/// Maximum number of rate limits, and of cold upstreams, in one heartbeat.
const MAX_HEARTBEAT_LIMITS: usize = 256;

/// The request whose response is examined for notices.
#[derive(Clone, Copy, Debug)]
pub struct NoticeSource<'a> {
    /// Name of the upstream.
    pub upstream: &'a UpstreamId,
    /// Start time of the upstream, in milliseconds, or an earlier one.
    pub started_at: u64,
    /// When the request was sent.
    pub asked_at: ClockInstant,
    /// Whether a response that names no rate limit shows that there is none: the upstream ran a
    /// request of a caller.
    pub ends_limit: bool,
    /// Whether the upstream did not run a request of a caller.
    pub not_run: bool,
}

/// Handles the notices in the head of a response.
pub fn record(host: &Arc<Host>, source: NoticeSource<'_>, status: StatusCode, headers: &HeaderMap) {
    let NoticeSource { upstream, started_at, .. } = source;
    let notice = (host.wire.parse_notice)(status, headers, upstream);
    for name in &notice.unknown {
        count_unknown(host, upstream, name);
    }
    if let Some(pause) = notice.pause {
        host.state().directory.note_pause(host.now(), upstream, pause);
        host.metrics.notices.with_label_values(&["pause"]).inc();
        spdlog::info!("upstream asked for a pause", kv: {
            upstream = upstream.as_str(),
            pause_ms = pause.as_millis() as u64,
        });
    }
    match (note_brittle(host, source, &notice), notice.rate_limit) {
        (Some(rate), LimitNotice::Limit(limit)) => note_full(host, source, rate.min(limit)),
        (Some(rate), LimitNotice::Unstated | LimitNotice::Unreadable) => {
            note_full(host, source, rate);
        }
        (None, LimitNotice::Limit(limit)) => {
            note_limit(host, source, Some(limit), "its response");
        }
        (None, LimitNotice::Unstated) if source.ends_limit && status.is_success() => {
            note_limit(host, source, None, "its response");
        }
        (None, LimitNotice::Unstated | LimitNotice::Unreadable) => {}
    }
    if notice.leaving {
        let mark = LeavingMark { upstream: upstream.clone(), started_at };
        if mark_leaving(host, &mark) {
            log_leaving(&mark, "its response");
            // The next heartbeat tells the other hosts.
            host.heartbeat_wanted.notify_one();
        }
    }
}

/// Notes whether an upstream is brittle. Returns how many requests a second all hosts together may
/// send to one that has just turned a request away for want of room.
fn note_brittle(
    host: &Host,
    source: NoticeSource<'_>,
    notice: &UpstreamNotice,
) -> Option<RequestRate> {
    let NoticeSource { upstream, started_at, asked_at, not_run, .. } = source;
    let now = host.now();
    let brittle = &mut host.state().directory.brittle;
    match notice.brittle {
        LimitNotice::Limit(rejections) => {
            brittle.note(now, upstream, started_at, asked_at, Some(rejections));
        }
        LimitNotice::Unstated => brittle.note(now, upstream, started_at, asked_at, None),
        LimitNotice::Unreadable => {}
    }
    brittle.rate_when_full(now, upstream, started_at).filter(|_| not_run && notice.full)
}

/// Handles that a brittle upstream is full: all hosts together ask it rarely, at `rate`, until it has
/// run a request.
fn note_full(host: &Arc<Host>, source: NoticeSource<'_>, rate: RequestRate) {
    if note_limit(host, source, Some(rate), "its rejection") {
        host.metrics.notices.with_label_values(&["brittle_full"]).inc();
        let report = {
            let state = host.state();
            let entry = state.directory.rate_limits.get(source.upstream);
            entry.map(|entry| build_limit_report(&state, source.upstream, entry))
        };
        // The next heartbeat would tell the others when they have sent more.
        let message = PeerMessage::RateLimits(report.into_iter().collect());
        send_to_all(host, &message);
    }
}

/// Counts a notice that the adapter does not understand, and logs the first one with its name.
fn count_unknown(host: &Host, upstream: &UpstreamId, name: &HeaderName) {
    let (label, is_new) = {
        let known = &mut host.state().unknown_notices;
        let is_new = known.len() < MAX_UNKNOWN_NOTICES && known.insert(name.to_string());
        (if known.contains(name.as_str()) { name.as_str() } else { "other" }, is_new)
    };
    host.metrics.unknown_notices.with_label_values(&[label]).inc();
    if is_new {
        spdlog::warn!("upstream announced something unknown", kv: {
            upstream = upstream.as_str(),
            header = name.as_str(),
        });
    }
}

/// Notes a rate limit or its end; returns whether that changes what was known.
fn note_limit(
    host: &Arc<Host>,
    source: NoticeSource<'_>,
    limit: Option<RequestRate>,
    told_by: &str,
) -> bool {
    let NoticeSource { upstream, started_at, asked_at, .. } = source;
    let now = host.now();
    let change =
        host.state().directory.rate_limits.note(now, upstream, started_at, limit, asked_at);
    if change != LimitChange::Changed {
        return false;
    }
    let label = if limit.is_some() { "rate_limit" } else { "rate_limit_ended" };
    host.metrics.notices.with_label_values(&[label]).inc();
    spdlog::info!("upstream changed its rate limit", kv: {
        upstream = upstream.as_str(),
        limit = limit.map_or("none".to_owned(), |limit| limit.to_string()).as_str(),
        born = started_at,
        told_by = told_by,
    });
    host.heartbeat_wanted.notify_one();
    host.holdings_changed.notify_waiters();
    leader::on_directory(host);
    true
}

/// Returns what this host knows of an upstream's rate limit; `state` is that of the host.
pub fn known_limit(state: &HostState, now: ClockInstant, upstream: &UpstreamId) -> KnownLimit {
    let entry = state.directory.rate_limits.get(upstream);
    KnownLimit {
        announced: entry.map(|entry| build_limit_report(state, upstream, entry)),
        cold: state.directory.cold_mark(now, upstream),
    }
}

/// Returns the reports of rate limits for a heartbeat: those of the last `span`, or all. The
/// selection is random if they do not fit, so that all are sent over time.
pub fn limit_reports(
    state: &HostState,
    now: ClockInstant,
    span: Option<Duration>,
) -> Vec<LimitReport> {
    let entries = state.directory.rate_limits.recent(now, span);
    let entries = entries.sample(&mut rand::rng(), MAX_HEARTBEAT_LIMITS);
    let reports = entries.into_iter();
    reports.map(|(upstream, entry)| build_limit_report(state, upstream, entry)).collect()
}

fn build_limit_report(state: &HostState, upstream: &UpstreamId, entry: &LimitEntry) -> LimitReport {
    LimitReport {
        upstream: upstream.clone(),
        started_at: entry.started_at,
        limit: entry.limit,
        asked_at: state.store_clock.to_store(entry.asked_at),
    }
}

/// Handles reports of rate limits by the host `from`.
pub fn absorb_limits(host: &Arc<Host>, from: &HostId, reports: &[LimitReport]) {
    for report in reports {
        let now = host.now();
        let clock = host.state().store_clock;
        let asked_at = match report.asked_at.and_then(|at| clock.to_local(now, at)) {
            Some(asked_at) => asked_at,
            // A limit without a time counts as new; its end waits for a report with one.
            None if report.limit.is_some() => now,
            None => continue,
        };
        let source = NoticeSource {
            upstream: &report.upstream,
            started_at: report.started_at,
            asked_at,
            ends_limit: true,
            not_run: false,
        };
        note_limit(host, source, report.limit, from.as_str());
    }
}

/// Adopts the rate limit that the issuer of permits goes by, even if this host cannot tell which of
/// both announcements is the later one, as times from other hosts are not exact.
pub fn adopt_limit(host: &Arc<Host>, issuer: &HostId, known: &KnownLimit) {
    absorb_cold(host, issuer, known.cold.as_slice());
    let Some(report) = &known.announced else { return };
    let LimitReport { upstream, started_at, limit, .. } = report;
    let known = host.state().directory.rate_limits.get(upstream).map(|entry| entry.asked_at);
    let source = NoticeSource {
        upstream,
        started_at: *started_at,
        asked_at: known.unwrap_or_default(),
        ends_limit: true,
        not_run: false,
    };
    note_limit(host, source, *limit, issuer.as_str());
}

/// Returns the marks of cold upstreams for a heartbeat. The selection is random if they do not fit.
pub fn cold_marks(state: &HostState, now: ClockInstant) -> Vec<ColdMark> {
    state.directory.cold_marks(now).sample(&mut rand::rng(), MAX_HEARTBEAT_LIMITS)
}

/// Handles the cold upstreams that the host `from` knows.
pub fn absorb_cold(host: &Host, from: &HostId, marks: &[ColdMark]) {
    for mark in marks {
        let now = host.now();
        let mut state = host.state();
        if state.directory.absorb_cold(now, mark) {
            announce_cold(host, &state, now, &mark.upstream, from.as_str());
        }
    }
}

/// Handles that connecting to an upstream failed, so that it gets no requests for a while. It may
/// come back cold after that, unless the failure may lie with this host.
pub fn note_unreachable(host: &Arc<Host>, upstream: &UpstreamId, failure: ConnectFailure) {
    let now = host.now();
    let mut state = host.state();
    let pause = match failure {
        ConnectFailure::Refused => REFUSED_COOLDOWN,
        ConnectFailure::Unanswered | ConnectFailure::Unrelated => UNREACHABLE_COOLDOWN,
    };
    state.directory.note_unreachable(now, upstream, pause);
    let is_cut_off = heard_fraction(&state, now) < MIN_HEARD_FRACTION;
    if failure == ConnectFailure::Unrelated || is_cut_off {
        return;
    }
    drop(state);
    let (host, upstream) = (host.clone(), upstream.clone());
    tokio::spawn(async move {
        if reach::is_down(&host, &upstream).await {
            note_failed_connection(&host, &upstream, pause);
        }
    });
}

fn note_failed_connection(host: &Host, upstream: &UpstreamId, pause: Duration) {
    let now = host.now();
    let mut state = host.state();
    if state.directory.note_possibly_cold(now, upstream, pause) {
        announce_cold(host, &state, now, upstream, "a failed connection");
    }
}

/// Handles that the upstreams of a failure domain come back into use, as when its evacuation ends:
/// they may have become cold meanwhile. `state` is that of `host`.
pub fn note_domain_in_use(host: &Host, state: &mut HostState, domain: &DomainId) {
    let now = host.now();
    for upstream in state.directory.note_domain_possibly_cold(now, domain) {
        announce_cold(host, state, now, &upstream, "its failure domain came back into use");
    }
}

/// Tells operators and the other hosts that an upstream is cold, and wakes the requests that wait;
/// `state` is that of `host`.
pub fn announce_cold(
    host: &Host,
    state: &HostState,
    now: ClockInstant,
    upstream: &UpstreamId,
    told_by: &str,
) {
    let Some(mark) = state.directory.cold_mark(now, upstream) else { return };
    host.metrics.notices.with_label_values(&["cold"]).inc();
    spdlog::info!("upstream is cold, or may be", kv: {
        upstream = upstream.as_str(),
        born = mark.started_at,
        left_ms = mark.left.as_millis() as u64,
        told_by = told_by,
    });
    host.heartbeat_wanted.notify_one();
    host.holdings_changed.notify_waiters();
}

/// Handles the leaving upstreams that the host `from` knows.
pub fn absorb(host: &Arc<Host>, from: &HostId, marks: &[LeavingMark]) {
    for mark in marks {
        if mark_leaving(host, mark) {
            log_leaving(mark, from.as_str());
        }
    }
}

/// Marks an upstream as leaving; returns whether that was not known before.
fn mark_leaving(host: &Arc<Host>, mark: &LeavingMark) -> bool {
    let mut state = host.state();
    let is_new = state.directory.note_leaving(host.now(), &mark.upstream, mark.started_at);
    drop(state);
    if is_new {
        host.metrics.notices.with_label_values(&["leaving"]).inc();
        leader::on_directory(host);
    }
    is_new
}

fn log_leaving(mark: &LeavingMark, told_by: &str) {
    spdlog::info!("upstream leaves", kv: {
        upstream = mark.upstream.as_str(),
        born = mark.started_at,
        told_by = told_by,
    });
}
