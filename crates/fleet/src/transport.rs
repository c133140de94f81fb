//! Messages between daemons, as sealed datagrams over one UDP socket.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterellane_protocol::{
    EnvelopeKey, EnvelopeOpener, EnvelopeSealer, MAX_DATAGRAM_BYTES, MemberId, PeerMessage,
};
use dotterellane_units::{HostId, HostIncarnation};
use prometheus::{IntCounterVec, Opts, Registry};
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::{PeerDelivery, PeerInbox, PeerSender};

/// Capacity of each inbox in messages; messages that do not fit are dropped and counted.
pub const INBOX_CAPACITY: usize = 1_024;

/// Size of the socket's send buffer and of its receive buffer in the kernel, in bytes.
pub const SOCKET_BUFFER_BYTES: usize = 1 << 20;

/// The part of the daemon that a message is for; each has an inbox of its own.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InboxKind {
    /// Membership, freshness and the log of changes.
    Gossip,
    /// Team shares.
    Shares,
    /// Permits of dispatchers.
    Dispatch,
    /// Orders to load models and reports of keepers.
    Placement,
    /// Reports of requests that crashed an upstream.
    Quarantine,
}

const INBOX_KINDS: [InboxKind; 5] = [
    InboxKind::Gossip,
    InboxKind::Shares,
    InboxKind::Dispatch,
    InboxKind::Placement,
    InboxKind::Quarantine,
];

impl InboxKind {
    /// Returns the kind of `message`.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Gossip(_) => Self::Gossip,
            PeerMessage::Shares(_) => Self::Shares,
            PeerMessage::Dispatch(_) => Self::Dispatch,
            PeerMessage::Placement(_) => Self::Placement,
            PeerMessage::Quarantine(_) => Self::Quarantine,
        }
    }

    /// Returns the value of the metric label `kind`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Gossip => "gossip",
            Self::Shares => "shares",
            Self::Dispatch => "dispatch",
            Self::Placement => "placement",
            Self::Quarantine => "quarantine",
        }
    }
}

struct TransportMetrics {
    bytes: IntCounterVec,
    messages: IntCounterVec,
    refused: IntCounterVec,
    dropped: IntCounterVec,
}

impl TransportMetrics {
    fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let labels = ["direction", "kind"];
        Ok(Self {
            bytes: counter(
                "dotterellane_control_bytes_total",
                "Bytes of datagrams between daemons, without IP and UDP headers.",
                &labels,
            )?,
            messages: counter(
                "dotterellane_control_messages_total",
                "Datagrams between daemons.",
                &labels,
            )?,
            refused: counter(
                "dotterellane_control_refused_total",
                "Received datagrams that were rejected.",
                &["reason"],
            )?,
            dropped: counter(
                "dotterellane_control_dropped_total",
                "Messages dropped before they were sent or handled.",
                &["reason"],
            )?,
        })
    }

    fn count(&self, direction: &str, kind: InboxKind, length: usize) {
        let labels = [direction, kind.label()];
        self.bytes.with_label_values(&labels).inc_by(u64::try_from(length).unwrap_or(0));
        self.messages.with_label_values(&labels).inc();
    }

    fn drop_one(&self, reason: &str) {
        self.dropped.with_label_values(&[reason]).inc();
    }
}

/// The UDP transport of one daemon. Clones share the same socket.
#[derive(Clone)]
pub struct PeerTransport(Arc<TransportState>);

struct TransportState {
    own: MemberId,
    socket: UdpSocket,
    sealer: Mutex<EnvelopeSealer>,
    /// Address of each peer, and the incarnation that it belongs to.
    addresses: Mutex<BTreeMap<HostId, (HostIncarnation, SocketAddr)>>,
    inboxes: BTreeMap<InboxKind, mpsc::Sender<PeerDelivery>>,
    metrics: TransportMetrics,
}

impl PeerTransport {
    /// Binds the socket and receives until `stopped` is cancelled; returns the inboxes by kind.
    ///
    /// # Errors
    /// Fails if the socket cannot be bound or a metric is registered already.
    pub async fn start(
        own: MemberId,
        bind: SocketAddr,
        secret: &[u8],
        registry: &Registry,
        stopped: CancellationToken,
    ) -> io::Result<(Self, BTreeMap<InboxKind, PeerInbox>)> {
        let socket = UdpSocket::bind(bind).await?;
        set_socket_recv_buffer_size(&socket, SOCKET_BUFFER_BYTES)?;
        set_socket_send_buffer_size(&socket, SOCKET_BUFFER_BYTES)?;
        let key = EnvelopeKey::derive(secret);
        let (mut inboxes, mut receivers) = (BTreeMap::new(), BTreeMap::new());
        for kind in INBOX_KINDS {
            let (inbox, receiver) = mpsc::channel(INBOX_CAPACITY);
            inboxes.insert(kind, inbox);
            receivers.insert(kind, receiver);
        }
        let state = TransportState {
            sealer: Mutex::new(EnvelopeSealer::new(key.clone(), own.host.clone(), own.incarnation)),
            own: own.clone(),
            socket,
            addresses: Mutex::default(),
            inboxes,
            metrics: TransportMetrics::register(registry).map_err(io::Error::other)?,
        };
        let transport = Self(Arc::new(state));
        let receiving = transport.clone();
        let opener = EnvelopeOpener::new(key, own.host);
        tokio::spawn(async move { stopped.run_until_cancelled(receiving.receive(opener)).await });
        Ok((transport, receivers))
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.socket.local_addr()
    }

    /// Sets the address of `member`, unless one is known for this or a later incarnation of its
    /// host: the source of a datagram that was received is more recent than the member list.
    pub fn suggest_address(&self, member: &MemberId, address: SocketAddr) {
        let mut addresses = self.addresses();
        if addresses.get(&member.host).is_none_or(|known| known.0 < member.incarnation) {
            addresses.insert(member.host.clone(), (member.incarnation, address));
        }
    }

    /// Returns a [`PeerSender`] that uses this transport.
    pub fn sender(&self) -> PeerSender {
        let transport = self.clone();
        PeerSender::new(move |host, message| transport.send(host, message))
    }

    /// Sends `message` to the daemon on `host` without blocking; a message to this host goes
    /// straight to its inbox. A message that cannot be sent at once is dropped and counted.
    pub fn send(&self, host: &HostId, message: PeerMessage) {
        let state = &*self.0;
        if *host == state.own.host {
            self.deliver(PeerDelivery {
                from: host.clone(),
                incarnation: state.own.incarnation,
                message,
            });
            return;
        }
        let Some((_, address)) = self.addresses().get(host).copied() else {
            state.metrics.drop_one("no_address");
            return;
        };
        let kind = InboxKind::of(&message);
        let sealed = lock(&state.sealer).seal(host, message);
        let Ok(datagram) = sealed else {
            state.metrics.drop_one("too_long");
            return;
        };
        match state.socket.try_send_to(&datagram, address) {
            Ok(length) => state.metrics.count("sent", kind, length),
            Err(_) => state.metrics.drop_one("socket"),
        }
    }

    fn addresses(&self) -> MutexGuard<'_, BTreeMap<HostId, (HostIncarnation, SocketAddr)>> {
        lock(&self.0.addresses)
    }

    /// Puts a message into the inbox of its kind; drops and counts it if that is full or closed.
    fn deliver(&self, delivery: PeerDelivery) {
        let kind = InboxKind::of(&delivery.message);
        let Some(inbox) = self.0.inboxes.get(&kind) else { return };
        if inbox.try_send(delivery).is_err() {
            self.0.metrics.drop_one("inbox");
        }
    }

    async fn receive(&self, mut opener: EnvelopeOpener) {
        let state = &*self.0;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // The error belongs to a datagram that this daemon sent earlier, such as a closed port
            // at the peer.
            let Ok((length, source)) = state.socket.recv_from(&mut buffer).await else {
                state.metrics.drop_one("socket");
                tokio::task::yield_now().await;
                continue;
            };
            match opener.open(&buffer[..length]) {
                Ok(content) => {
                    state.metrics.count("received", InboxKind::of(&content.message), length);
                    // The opener rejects datagrams of an incarnation older than one it has seen, so
                    // this never replaces a newer address.
                    self.addresses().insert(content.from.clone(), (content.incarnation, source));
                    self.deliver(PeerDelivery {
                        from: content.from,
                        incarnation: content.incarnation,
                        message: content.message,
                    });
                }
                Err(error) => state.metrics.refused.with_label_values(&[error.label()]).inc(),
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
