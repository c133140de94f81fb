//! What upstreams say of themselves in the heads of answers.

use std::sync::Arc;

use dotterellane_decisions::leaving_marks::LeavingMark;
use dotterellane_units::{HostId, UpstreamId};
use http::{HeaderMap, StatusCode};

use crate::keeper;
use crate::state::Host;

/// Takes in what `upstream`, started at `born` or later, says in the head of an answer.
pub fn note(
    host: &Arc<Host>,
    upstream: &UpstreamId,
    born: u64,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let notice = (host.wire.parse_notice)(status, headers, upstream);
    if let Some(pause) = notice.pause {
        host.state().directory.note_pause(host.now(), upstream, pause);
        host.metrics.notices.with_label_values(&["pause"]).inc();
        spdlog::info!("upstream wants nothing for a while", kv: {
            upstream = upstream.as_str(),
            pause_ms = pause.as_millis() as u64,
        });
    }
    if notice.leaving {
        let mark = LeavingMark { upstream: upstream.clone(), born };
        if mark_leaving(host, &mark) {
            log_leaving(&mark, "its answer");
            // The next beat tells the others.
            host.spending_changed.notify_one();
        }
    }
}

/// Takes in what the host `from` knows of upstreams that leave.
pub fn absorb(host: &Arc<Host>, from: &HostId, marks: &[LeavingMark]) {
    for mark in marks {
        if mark_leaving(host, mark) {
            log_leaving(mark, from.as_str());
        }
    }
}

/// Marks an upstream; tells whether that is news.
fn mark_leaving(host: &Arc<Host>, mark: &LeavingMark) -> bool {
    let mut state = host.state();
    let news = state.directory.note_leaving(host.now(), &mark.upstream, mark.born);
    drop(state);
    if news {
        host.metrics.notices.with_label_values(&["leaving"]).inc();
        keeper::on_directory(host);
    }
    news
}

fn log_leaving(mark: &LeavingMark, told_by: &str) {
    spdlog::info!("upstream leaves", kv: {
        upstream = mark.upstream.as_str(),
        born = mark.born,
        told_by = told_by,
    });
}
