//! Messages between daemons and the member view, as the parts of a daemon use them.

use std::fmt;
use std::sync::Arc;

use dotterellane_protocol::PeerMessage;
use dotterellane_units::{DomainId, HostId, HostIncarnation};
use tokio::sync::{mpsc, watch};

/// A message from a peer; its seal has been verified.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDelivery {
    /// Host that sent the message.
    pub from: HostId,
    /// Incarnation of the sending daemon.
    pub incarnation: HostIncarnation,
    /// Decoded content of the datagram.
    pub message: PeerMessage,
}

/// Receives the messages for one part of the daemon.
pub type PeerInbox = mpsc::Receiver<PeerDelivery>;

type SendCall = dyn Fn(&HostId, PeerMessage) + Send + Sync;

/// Sends messages to daemons by host. Messages may be lost, duplicated, delayed or reordered.
#[derive(Clone)]
pub struct PeerSender(Arc<SendCall>);

impl PeerSender {
    /// Wraps a function that sends a message without blocking.
    pub fn new<S>(send: S) -> Self
    where
        S: Fn(&HostId, PeerMessage) + Send + Sync + 'static,
    {
        Self(Arc::new(send))
    }

    /// Sends `message` to the daemon on `host`, which may be this one.
    pub fn send(&self, host: &HostId, message: PeerMessage) {
        (self.0)(host, message);
    }
}

impl fmt::Debug for PeerSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSender")
    }
}

/// A member of the fleet with its current state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberInfo {
    /// Host that the member runs on.
    pub host: HostId,
    /// Incarnation of the daemon; higher for a later one on the same host.
    pub incarnation: HostIncarnation,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Whether it was heard recently, directly or through other members.
    pub alive: bool,
    /// Whether it announced that it leaves the fleet.
    pub leaving: bool,
}

/// The members as this daemon sees them, ordered by host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberView {
    /// All members in the member list, dead ones included.
    pub members: Vec<MemberInfo>,
}

impl MemberView {
    /// Returns the members that are alive and not leaving; only these are assigned roles.
    pub fn serving(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.iter().filter(|member| member.alive && !member.leaving)
    }
}

/// Watch channel for the newest member view.
pub type MemberFeed = watch::Receiver<Arc<MemberView>>;
