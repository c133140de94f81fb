//! A proxy between daemons, with which tests drop, delay, reorder and duplicate datagrams. It passes
//! their connections on, too.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::link::SiteLink;

/// Size of the receive buffer, in bytes; no datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Maximum number of ports that are tried.
const MAX_BINDS: usize = 20;

/// How the mesh treats the datagrams of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum MeshMode {
    /// All are delivered.
    #[default]
    Open,
    /// Drops this fraction of those that it sends or should receive.
    Lossy(f64),
    /// Delays each by a random time up to this one, so that their order changes.
    Reordered(Duration),
    /// Delivers each twice.
    Duplicated,
    /// Drops those that it should receive.
    DropsReceived,
    /// Drops those that it sends.
    DropsSent,
    /// Drops those that it sends and those that it should receive.
    Isolated,
}

impl MeshMode {
    fn drops_sent(self) -> bool {
        matches!(self, Self::DropsSent | Self::Isolated)
    }

    fn drops_received(self) -> bool {
        matches!(self, Self::DropsReceived | Self::Isolated)
    }
}

/// Mode of each daemon, and the random numbers that decide on losses and delays.
#[derive(Debug)]
struct MeshState {
    modes: BTreeMap<SocketAddr, MeshMode>,
    random: Pcg64Mcg,
}

/// The mesh's socket for each daemon, by the address at which the daemon itself listens.
type MeshSockets = BTreeMap<SocketAddr, Arc<UdpSocket>>;

/// A proxy between some daemons; it stops when dropped.
#[derive(Debug)]
pub struct SiteMesh {
    sockets: Arc<MeshSockets>,
    /// Connections to the daemons, at the addresses of the sockets.
    _links: Vec<SiteLink>,
    state: Arc<Mutex<MeshState>>,
    _stop: DropGuard,
}

impl SiteMesh {
    /// Starts a mesh between daemons that listen at these addresses; `seed` seeds the faults.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(daemons: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let (mut sockets, mut links) = (MeshSockets::new(), Vec::new());
        for daemon in daemons {
            let (socket, listener) = bind_both().await?;
            sockets.insert(*daemon, Arc::new(socket));
            links.push(SiteLink::start_on(listener, *daemon)?);
        }
        let sockets = Arc::new(sockets);
        let random = Pcg64Mcg::seed_from_u64(seed);
        let state = Arc::new(Mutex::new(MeshState { modes: BTreeMap::new(), random }));
        let stop = CancellationToken::new();
        for daemon in daemons {
            let forwarding = forward(*daemon, sockets.clone(), state.clone());
            tokio::spawn(stop.clone().run_until_cancelled_owned(forwarding));
        }
        Ok(Self { sockets, _links: links, state, _stop: stop.drop_guard() })
    }

    /// Returns the mesh's address for `daemon`, which the other daemons send to.
    ///
    /// # Panics
    /// Panics if `daemon` does not belong to the mesh.
    pub fn address_of(&self, daemon: SocketAddr) -> SocketAddr {
        self.sockets[&daemon].local_addr().expect("a bound socket")
    }

    /// Sets how the datagrams of `daemon` are treated from now on.
    pub fn set_mode(&self, daemon: SocketAddr, mode: MeshMode) {
        lock(&self.state).modes.insert(daemon, mode);
    }
}

/// Binds a port that is free for datagrams and for connections.
async fn bind_both() -> std::io::Result<(UdpSocket, TcpListener)> {
    for _ in 0..MAX_BINDS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await {
            return Ok((socket, listener));
        }
    }
    Err(std::io::Error::other("no port is free for both"))
}

fn lock(state: &Mutex<MeshState>) -> MutexGuard<'_, MeshState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Forwards datagrams for `daemon`, from the mesh's socket for their sender.
async fn forward(daemon: SocketAddr, sockets: Arc<MeshSockets>, state: Arc<Mutex<MeshState>>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // A receive error reports an earlier datagram that could not be delivered, for instance to
        // a daemon that is down.
        let Ok((length, sender)) = sockets[&daemon].recv_from(&mut buffer).await else { continue };
        let Some(socket) = sockets.get(&sender).filter(|_| sender != daemon) else { continue };
        for delay in lock(&state).delays(sender, daemon) {
            let (socket, datagram) = (socket.clone(), buffer[..length].to_vec());
            let sending = async move {
                sleep(delay).await;
                // Datagrams to a daemon that is down are lost.
                let _ = socket.send_to(&datagram, daemon).await;
            };
            tokio::spawn(sending);
        }
    }
}

impl MeshState {
    /// Returns the delay of each copy of a datagram; empty if it is dropped.
    fn delays(&mut self, sender: SocketAddr, receiver: SocketAddr) -> Vec<Duration> {
        let mode = |daemon| self.modes.get(&daemon).copied().unwrap_or_default();
        let ends = [mode(sender), mode(receiver)];
        if ends[0].drops_sent() || ends[1].drops_received() {
            return Vec::new();
        }
        let mut delays = vec![Duration::ZERO];
        for end in ends {
            match end {
                MeshMode::Lossy(fraction) => delays.retain(|_| !self.random.random_bool(fraction)),
                MeshMode::Reordered(max_delay) => {
                    delays
                        .iter_mut()
                        .for_each(|delay| *delay += max_delay.mul_f64(self.random.random()));
                }
                MeshMode::Duplicated => delays.extend(delays.clone()),
                MeshMode::Open
                | MeshMode::DropsReceived
                | MeshMode::DropsSent
                | MeshMode::Isolated => {}
            }
        }
        delays
    }
}
