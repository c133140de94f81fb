//! A mesh that a test puts between the datagram sockets of daemons, to lose, hold up and double what goes through.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Longest datagram, in bytes.
const LONGEST_DATAGRAM: usize = 64 << 10;

/// How a daemon's datagrams fare.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum MeshMode {
    /// All arrive.
    #[default]
    Open,
    /// This part of those that it sends or should get is lost.
    Lossy(f64),
    /// Each comes up to so much later, so that they overtake each other.
    Reordered(Duration),
    /// Each comes twice.
    Duplicated,
    /// It gets none.
    DropsReceived,
    /// None that it sends arrives.
    DropsSent,
    /// Both.
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

/// What passes between daemons.
#[derive(Debug)]
struct MeshState {
    modes: BTreeMap<SocketAddr, MeshMode>,
    random: Pcg64Mcg,
}

/// Sockets under which daemons know each other, by the address at which a daemon really listens.
type MeshSockets = BTreeMap<SocketAddr, Arc<UdpSocket>>;

/// A mesh among some daemons; it ends when dropped.
#[derive(Debug)]
pub struct SiteMesh {
    sockets: Arc<MeshSockets>,
    state: Arc<Mutex<MeshState>>,
    _stop: DropGuard,
}

impl SiteMesh {
    /// Opens a mesh among daemons that listen at these addresses; `seed` decides what is lost.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start(daemons: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let mut sockets = MeshSockets::new();
        for daemon in daemons {
            sockets.insert(*daemon, Arc::new(UdpSocket::bind(("127.0.0.1", 0)).await?));
        }
        let sockets = Arc::new(sockets);
        let random = Pcg64Mcg::seed_from_u64(seed);
        let state = Arc::new(Mutex::new(MeshState { modes: BTreeMap::new(), random }));
        let stop = CancellationToken::new();
        for daemon in daemons {
            let passing = pass(*daemon, sockets.clone(), state.clone());
            tokio::spawn(stop.clone().run_until_cancelled_owned(passing));
        }
        Ok(Self { sockets, state, _stop: stop.drop_guard() })
    }

    /// Returns the address under which others know `daemon`.
    ///
    /// # Panics
    /// Panics if it does not belong to the mesh.
    pub fn address_of(&self, daemon: SocketAddr) -> SocketAddr {
        self.sockets[&daemon].local_addr().expect("a bound socket")
    }

    /// Sets how the datagrams of `daemon` fare from now on.
    pub fn set_mode(&self, daemon: SocketAddr, mode: MeshMode) {
        lock(&self.state).modes.insert(daemon, mode);
    }
}

fn lock(state: &Mutex<MeshState>) -> MutexGuard<'_, MeshState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Passes on what is sent to `daemon`, as if it came from the sender's own socket of the mesh.
async fn pass(daemon: SocketAddr, sockets: Arc<MeshSockets>, state: Arc<Mutex<MeshState>>) {
    let mut buffer = vec![0; LONGEST_DATAGRAM];
    loop {
        // An error concerns an earlier datagram, such as one to a daemon that is down.
        let Ok((length, sender)) = sockets[&daemon].recv_from(&mut buffer).await else { continue };
        let Some(socket) = sockets.get(&sender).filter(|_| sender != daemon) else { continue };
        for lag in lock(&state).lags(sender, daemon) {
            let (socket, datagram) = (socket.clone(), buffer[..length].to_vec());
            let sending = async move {
                sleep(lag).await;
                // A daemon that is down gets nothing.
                let _ = socket.send_to(&datagram, daemon).await;
            };
            tokio::spawn(sending);
        }
    }
}

impl MeshState {
    /// Returns how much later each copy of a datagram arrives; none if it is lost.
    fn lags(&mut self, sender: SocketAddr, receiver: SocketAddr) -> Vec<Duration> {
        let mode = |daemon| self.modes.get(&daemon).copied().unwrap_or_default();
        let ends = [mode(sender), mode(receiver)];
        if ends[0].drops_sent() || ends[1].drops_received() {
            return Vec::new();
        }
        let mut lags = vec![Duration::ZERO];
        for end in ends {
            match end {
                MeshMode::Lossy(part) => lags.retain(|_| !self.random.random_bool(part)),
                MeshMode::Reordered(most) => {
                    lags.iter_mut().for_each(|lag| *lag += most.mul_f64(self.random.random()));
                }
                MeshMode::Duplicated => lags.extend(lags.clone()),
                MeshMode::Open
                | MeshMode::DropsReceived
                | MeshMode::DropsSent
                | MeshMode::Isolated => {}
            }
        }
        lags
    }
}
