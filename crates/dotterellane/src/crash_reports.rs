//! Exchange of upstream crash reports among the daemons of the fleet, so that every daemon
//! quarantines a request that crashes upstreams.

use std::time::Duration;

use dotterellane_entry::CrashWatch;
use dotterellane_fleet::{FleetNode, InboxKind, MemberFeed, PeerInbox, PeerSender};
use dotterellane_protocol::{CrashReport, PeerMessage};
use dotterellane_units::{ClockSource, HostId};
use tokio::runtime::Handle;

use crate::daemon::take_inbox;

/// Times, counted from when a report is made, at which it is sent to the peers. It is sent more
/// than once because a datagram may be lost.
const SEND_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(250)];

/// Starts to send this daemon's crash reports to its peers and to apply theirs.
///
/// # Errors
/// Fails if the quarantine inbox of `node` has been taken.
pub(crate) fn start_sharing(node: &FleetNode) -> miette::Result<CrashWatch> {
    let (members, sender) = (node.members.clone(), node.sender.clone());
    let own = node.member_id.host.clone();
    let runtime = Handle::current();
    let watch = CrashWatch::default().with_publisher(move |report| {
        runtime.spawn(broadcast_report(members.clone(), sender.clone(), own.clone(), report));
    });
    let inbox = take_inbox(node, InboxKind::Quarantine)?;
    tokio::spawn(receive_reports(inbox, node.ports.clock.clone(), watch.clone()));
    Ok(watch)
}

async fn broadcast_report(
    members: MemberFeed,
    sender: PeerSender,
    own: HostId,
    report: CrashReport,
) {
    let mut elapsed = Duration::ZERO;
    for delay in SEND_DELAYS {
        tokio::time::sleep(delay - elapsed).await;
        elapsed = delay;
        let view = members.borrow().clone();
        let others = view.members.iter().filter(|member| member.host != own);
        others.for_each(|peer| sender.send(&peer.host, PeerMessage::Quarantine(report.clone())));
    }
}

async fn receive_reports(mut inbox: PeerInbox, clock: ClockSource, watch: CrashWatch) {
    while let Some(delivery) = inbox.recv().await {
        if let PeerMessage::Quarantine(report) = delivery.message {
            watch.absorb(clock.now(), &report);
        }
    }
}
