//! How parts of the daemon reach the other daemons.

use std::fmt;
use std::sync::Arc;

use dotterellane_protocol::PeerMessage;
use dotterellane_units::{DomainId, HostId, HostIncarnation};
use tokio::sync::{mpsc, watch};

/// A message as it came from a peer whose seal was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerDelivery {
    /// Host that sent the message.
    pub from: HostId,
    /// Incarnation of that host.
    pub incarnation: HostIncarnation,
    /// The message.
    pub message: PeerMessage,
}

/// Receives the messages that one part of the daemon subscribed to.
pub type PeerInbox = mpsc::Receiver<PeerDelivery>;

type SendCall = dyn Fn(&HostId, PeerMessage) + Send + Sync;

/// Sends messages to peers; a message may be lost, doubled, late or out of order.
#[derive(Clone)]
pub struct PeerSender(Arc<SendCall>);

impl PeerSender {
    /// Wraps a function that sends without waiting.
    pub fn new<S>(send: S) -> Self
    where
        S: Fn(&HostId, PeerMessage) + Send + Sync + 'static,
    {
        Self(Arc::new(send))
    }

    /// Sends `message` to `host`, which may be this host.
    pub fn send(&self, host: &HostId, message: PeerMessage) {
        (self.0)(host, message);
    }
}

impl fmt::Debug for PeerSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSender")
    }
}

/// One listed member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberInfo {
    /// Name of the host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it was heard lately, directly or through others.
    pub alive: bool,
    /// Whether it said that it leaves.
    pub leaving: bool,
}

/// The members as this daemon sees them, ordered by host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberView {
    /// All listed members.
    pub members: Vec<MemberInfo>,
}

impl MemberView {
    /// Returns the members that roles are assigned to: alive and not leaving.
    pub fn serving(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.iter().filter(|member| member.alive && !member.leaving)
    }
}

/// Gives the newest member view to parts of the daemon.
pub type MemberFeed = watch::Receiver<Arc<MemberView>>;
