//! Asks another upstream for a response while the one before is silent.
//!
//! Silence does not show that an upstream is gone, so its response is given up only once another
//! upstream responds, or once the silent one is shown to be gone.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_units::UpstreamId;
use dotterellane_upstream::connect::connect_tcp;
use http::Response;
use tokio::time::{Instant, sleep, timeout};

use crate::crashes::check_for_crash;
use crate::dispatch::{RequestProgress, SilentAttempt, send_once};
use crate::exchange::ConnectFailure;
use crate::handler::{Admission, GatewayCall};
use crate::outcomes::SendOutcome;
use crate::peeked::PeekedBody;
use crate::reach;
use crate::selection::{SelectedUpstream, select_upstream};
use crate::state::Host;

/// Interval between two searches for another upstream while one is silent.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which the other upstream's first event has to follow its head for the silent one to
/// be kept. Two may not be at work for longer than 400 ms, and a close takes time to arrive.
const HANDOVER_OVERLAP: Duration = Duration::from_millis(300);

/// Maximum number of upstreams in one search that turn out to be unreachable.
const MAX_UNREACHABLE: u32 = 3;

/// Time within which a live upstream accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// An upstream that is at work on the request but silent.
#[derive(Debug)]
pub struct SilentUpstream<'a> {
    /// The upstream.
    pub selected: &'a mut SelectedUpstream,
    /// Whether a new connection is to show whether it is gone.
    pub probes: bool,
    /// Whether it may be asked again itself, as only its connection may have gone dead.
    pub may_repeat: bool,
    /// Whether its head is there, so that what it sends next is an event.
    pub sends_events: bool,
}

/// What came of asking another upstream beside a silent one.
#[derive(Debug)]
pub struct BesideEnd<T> {
    /// What the silent upstream sent meanwhile.
    pub first: Option<T>,
    /// Whether the silent upstream was shown to be gone.
    pub gone: bool,
    /// The other upstream with the head of its successful response.
    pub other: Option<(SelectedUpstream, Response<PeekedBody>)>,
}

/// Asks one other upstream while `first`, the next thing that the upstream `silent` sends, is
/// awaited. Returns as soon as `first` yields something that `is_sound`, or the other upstream has
/// responded or refused. The other's attempt is dropped in the first case, and still counts. A
/// stream counts as a response from its first event on, or `HANDOVER_OVERLAP` after its head: the
/// head alone is not better than what the silent upstream may send next.
pub async fn ask_beside<T, F, S>(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    admission: &Admission,
    progress: &mut RequestProgress,
    silent: SilentUpstream<'_>,
    first: F,
    is_sound: S,
) -> BesideEnd<T>
where
    F: Future<Output = T>,
    S: Fn(&T) -> bool,
{
    let mut end = BesideEnd { first: None, gone: false, other: None };
    let mut probing = silent.probes;
    let upstream = silent.selected.name.clone();
    let gone_upstream = upstream.clone();
    progress.silent = Some(SilentAttempt { upstream, may_repeat: silent.may_repeat });
    {
        let mut asking = pin!(ask_other(host, call, admission.clone(), progress));
        let mut other = None;
        let mut refused = false;
        let mut overlap = pin!(sleep(HANDOVER_OVERLAP));
        let is_stream = admission.route.kind.is_stream();
        let mut probe = pin!(is_gone(host, &gone_upstream, silent.selected.address));
        let mut first = pin!(first);
        loop {
            // A head of the silent one is no better than that of the other one.
            let may_go_on = silent.sends_events || other.is_none();
            tokio::select! {
                biased;
                begun = await_event(&mut other), if other.is_some() => {
                    match other.take() {
                        Some(asked) if begun => end.other = Some(asked),
                        Some((selected, _)) => note_replaced(host, selected),
                        None => {}
                    }
                    break;
                }
                next = &mut first, if end.first.is_none() && !end.gone && may_go_on => {
                    let sound = is_sound(&next);
                    end.first = Some(next);
                    if sound {
                        break;
                    }
                    note_failed(host, silent.selected);
                    end.other = other.take();
                    if refused || end.other.is_some() {
                        break;
                    }
                }
                gone = &mut probe, if probing => {
                    probing = false;
                    end.gone = gone;
                    if gone {
                        note_failed(host, silent.selected);
                    }
                    if refused {
                        break;
                    }
                }
                asked = &mut asking, if other.is_none() && !refused => match asked {
                    None if probing && end.first.is_none() => refused = true,
                    Some(asked) if is_stream && end.first.is_none() && !end.gone => {
                        other = Some(asked);
                        overlap.as_mut().reset(Instant::now() + HANDOVER_OVERLAP);
                    }
                    asked => {
                        end.other = asked;
                        break;
                    }
                },
                () = &mut overlap, if other.is_some() => {
                    end.other = other.take();
                    break;
                }
            }
        }
    }
    progress.silent = None;
    progress.retry = None;
    end
}

/// Waits until the stream of the other upstream has begun; returns `false` if it broke off before.
async fn await_event(other: &mut Option<(SelectedUpstream, Response<PeekedBody>)>) -> bool {
    match other {
        Some((_, head)) => head.body_mut().await_event().await,
        None => false,
    }
}

/// Records that an upstream was replaced as it was silent or broke its response off.
pub fn note_replaced(host: &Arc<Host>, mut replaced: SelectedUpstream) {
    note_failed(host, &mut replaced);
}

/// Records that an upstream failed the request, and finds out whether it crashed.
fn note_failed(host: &Arc<Host>, failed: &mut SelectedUpstream) {
    let Some(in_flight) = failed.in_flight.take() else { return };
    host.state().directory.note_failure(host.now(), &failed.name);
    check_for_crash(host, in_flight, failed.address);
}

/// Sends the request to another upstream that can run it now; `None` if none responds with success.
async fn ask_other(
    host: &Arc<Host>,
    call: &Arc<GatewayCall>,
    mut admission: Admission,
    progress: &mut RequestProgress,
) -> Option<(SelectedUpstream, Response<PeekedBody>)> {
    let kind = admission.route.kind;
    for _ in 0..MAX_UNREACHABLE {
        if !progress.try_reserve_rerun(host, &admission) {
            return None;
        }
        let selected = select_upstream(host, call, &mut admission, progress).await.ok()?;
        // The configuration may have changed.
        if admission.route.kind != kind {
            return None;
        }
        match send_once(host, call, &admission, progress, selected).await {
            SendOutcome::Head(selected, head) if head.status().is_success() => {
                return Some((*selected, *head));
            }
            SendOutcome::NotSent => {}
            SendOutcome::Head(..) | SendOutcome::NotRun(_) | SendOutcome::Broken(_) => return None,
        }
    }
    None
}

/// Returns whether an upstream refuses a new connection, as nothing listens at its address.
async fn is_gone(host: &Arc<Host>, upstream: &UpstreamId, address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, connect_tcp(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            reach::note_connect(host, upstream, Some(ConnectFailure::Refused));
            reach::is_down(host, upstream).await
        }
        Ok(_) | Err(_) => false,
    }
}
