//! Crashes of upstreams, told to every daemon of the fleet.

use std::time::Duration;

use dotterellane_entry::CrashWatch;
use dotterellane_fleet::{FleetNode, InboxKind, MemberFeed, PeerInbox, PeerSender};
use dotterellane_protocol::{CrashReport, PeerMessage};
use dotterellane_units::{ClockSource, HostId};
use tokio::runtime::Handle;

use crate::daemon::take_inbox;

/// Times at which a report is sent after it was made; a datagram may be lost.
const SENDING_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(250)];

/// Starts to tell and to hear of crashes.
pub(crate) fn share(node: &FleetNode) -> miette::Result<CrashWatch> {
    let (members, sender) = (node.members.clone(), node.sender.clone());
    let own = node.member_id.host.clone();
    let runtime = Handle::current();
    let watch = CrashWatch::default().with_publisher(move |report| {
        runtime.spawn(tell(members.clone(), sender.clone(), own.clone(), report));
    });
    let inbox = take_inbox(node, InboxKind::Quarantine)?;
    tokio::spawn(hear(inbox, node.ports.clock.clone(), watch.clone()));
    Ok(watch)
}

async fn tell(members: MemberFeed, sender: PeerSender, own: HostId, report: CrashReport) {
    let mut passed = Duration::ZERO;
    for time in SENDING_TIMES {
        tokio::time::sleep(time - passed).await;
        passed = time;
        let view = members.borrow().clone();
        let others = view.members.iter().filter(|member| member.host != own);
        others.for_each(|peer| sender.send(&peer.host, PeerMessage::Quarantine(report.clone())));
    }
}

async fn hear(mut inbox: PeerInbox, clock: ClockSource, watch: CrashWatch) {
    while let Some(delivery) = inbox.recv().await {
        if let PeerMessage::Quarantine(report) = delivery.message {
            watch.absorb(clock.now(), &report);
        }
    }
}
