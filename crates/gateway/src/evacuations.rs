//! Learns from the store and from other hosts which failure domains are evacuated, and tells
//! operators.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dotterellane_decisions::evacuations::{
    EvacuationChange, EvacuationChangeKind, EvacuationReport,
};
use dotterellane_platform::FeedBatch;
use dotterellane_units::{DomainId, HostId, RowVersion};

use crate::leader;
use crate::notices;
use crate::state::{Host, HostState};

/// Adopts the rows of a batch of the operators' table.
pub fn adopt_batch(host: &Arc<Host>, batch: &FeedBatch, is_snapshot: bool) {
    let now = host.now();
    let rows = batch.rows.iter().filter_map(|row| {
        let name = row.key.strip_prefix(host.wire.evacuation_prefix)?;
        Some((parse_domain(name, row.version)?, row))
    });
    let mut state = host.state();
    let known = &mut state.directory.evacuations;
    let changes: Vec<EvacuationChange> = if is_snapshot {
        let rows: Vec<_> = rows.map(|(domain, row)| (domain, row.version)).collect();
        known.on_snapshot(now, batch.version, &rows)
    } else {
        let reports = rows.map(|(domain, row)| EvacuationReport {
            domain,
            version: row.version,
            is_asked: row.value.is_some(),
        });
        reports.filter_map(|report| known.on_report(now, &report)).collect()
    };
    for change in &changes {
        note(host, &mut state, change, "the store");
    }
    drop(state);
    if !changes.is_empty() {
        on_changed(host);
        // The next heartbeat tells the other hosts.
        host.heartbeat_wanted.notify_one();
    }
}

/// Adopts what the host `from` knows; `state` is that of `host`. Returns whether that changed
/// anything.
pub fn absorb(
    host: &Host,
    state: &mut HostState,
    from: &HostId,
    reports: &[EvacuationReport],
) -> bool {
    let now = host.now();
    let mut changed = false;
    for report in reports {
        if let Some(change) = state.directory.evacuations.on_report(now, report) {
            note(host, state, &change, from.as_str());
            changed = true;
        }
    }
    changed
}

/// Handles that evacuations began or ended: waiting requests choose again, and the leader plans
/// again.
pub fn on_changed(host: &Arc<Host>) {
    leader::on_directory(host);
    host.holdings_changed.notify_waiters();
}

/// Sets the number of this host's requests that still run in each evacuated failure domain.
pub fn count_running(host: &Host) {
    let state = host.state();
    for (domain, _) in state.directory.evacuations.in_force() {
        let running = i64::from(running_in(&state, domain));
        host.metrics.evacuated_running.with_label_values(&[domain.as_str()]).set(running);
    }
}

fn running_in(state: &HostState, domain: &DomainId) -> u32 {
    let running = state.running.iter().filter(|((name, _), _)| {
        state.directory.get(name).is_some_and(|known| known.entry.domain == *domain)
    });
    running.map(|(_, count)| *count).sum()
}

fn note(host: &Host, state: &mut HostState, change: &EvacuationChange, told_by: &str) {
    let EvacuationChange { domain, version, kind } = change;
    let since = &host.metrics.evacuated_since;
    let version = version.to_string();
    let running = running_in(state, domain);
    match kind {
        EvacuationChangeKind::Begun | EvacuationChangeKind::BegunAgain => {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let unix = unix.try_into().unwrap_or(i64::MAX);
            since.with_label_values(&[domain.as_str()]).set(unix);
            spdlog::info!("evacuation begins", kv: {
                domain = domain.as_str(),
                version = version.as_str(),
                told_by = told_by,
                running = running,
                again = *kind == EvacuationChangeKind::BegunAgain,
            });
        }
        EvacuationChangeKind::Ended => {
            // The number of requests is set only when metrics are read, so it may be absent.
            let _ = since.remove_label_values(&[domain.as_str()]);
            let _ = host.metrics.evacuated_running.remove_label_values(&[domain.as_str()]);
            spdlog::info!("evacuation ends", kv: {
                domain = domain.as_str(),
                version = version.as_str(),
                told_by = told_by,
                running = running,
            });
            // Under the same lock, so that no request takes them for warm.
            notices::note_domain_in_use(host, state, domain);
        }
        EvacuationChangeKind::RowMissing => {
            spdlog::warn!("evacuation stays in force although a restored store lacks its row", kv: {
                domain = domain.as_str(),
                version = version.as_str(),
                running = running,
            });
        }
    }
}

/// Parses the name of a failure domain; logs a warning and returns `None` if it is invalid.
fn parse_domain(name: &str, version: RowVersion) -> Option<DomainId> {
    let domain = name.parse().ok();
    if domain.is_none() {
        spdlog::warn!("evacuation names no valid failure domain", kv: {
            name = name,
            version = version.to_string().as_str(),
        });
    }
    domain
}
