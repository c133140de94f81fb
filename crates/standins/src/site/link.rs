//! A loopback TCP proxy that a test puts between two processes to inject network faults.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Connections that wait at a silent link until further ones hang.
const SILENT_BACKLOG: u32 = 1;

/// Time for a connection that fills the queue of a silent link.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Forwards both directions.
    #[default]
    Open,
    /// Forwards both directions, each chunk after this delay.
    Delayed(Duration),
    /// Holds back both directions until the mode changes; connections stay open.
    Stalled,
    /// Forwards requests and discards responses.
    OneWay,
    /// Resets all connections, including new ones.
    Reset,
    /// Refuses new connections; open ones go on.
    Refused,
    /// Refuses new connections and resets open ones.
    Cut,
    /// Does not answer new connections, which hang; holds back both directions of open ones.
    Silent,
    /// Does not answer new connections, which hang; forwards requests on open ones and discards
    /// responses.
    Unanswered,
}

impl LinkMode {
    /// Returns whether open connections are reset.
    fn breaks_open(self) -> bool {
        matches!(self, Self::Reset | Self::Cut)
    }

    /// Returns whether new connections are not accepted.
    fn is_deaf(self) -> bool {
        matches!(self, Self::Refused | Self::Cut) || self.hangs()
    }

    /// Returns whether new connections get no answer at all.
    fn hangs(self) -> bool {
        matches!(self, Self::Silent | Self::Unanswered)
    }
}

/// A proxy for one target address; it stops when dropped.
#[derive(Debug)]
pub struct SiteLink {
    /// Address that clients connect to.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    _stop: DropGuard,
}

impl SiteLink {
    /// Starts a proxy for `target` on a loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_on(TcpListener::bind(("127.0.0.1", 0)).await?, target)
    }

    /// Starts a proxy for `target` on the port of `listener`.
    ///
    /// # Errors
    /// Fails if the address of `listener` cannot be read.
    pub fn start_on(listener: TcpListener, target: SocketAddr) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let (mode, receiver) = watch::channel(LinkMode::Open);
        let stop = CancellationToken::new();
        let accepting = accept(listener, target, receiver, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self { address, mode, _stop: stop.drop_guard() })
    }

    /// Sets the mode of all connections, open and new ones.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    stop: CancellationToken,
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    let mut mode_watch = mode.clone();
    loop {
        let Some(listening) = &listener else {
            await_mode(&mut mode_watch, |mode| !mode.is_deaf()).await;
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        let accepted = tokio::select! {
            accepted = listening.accept() => accepted,
            () = await_mode(&mut mode_watch, LinkMode::is_deaf) => {
                listener = None;
                if mode.borrow().hangs() {
                    hold_silent(address, mode.clone()).await;
                }
                continue;
            }
        };
        let Ok((caller, _)) = accepted else { continue };
        if *mode.borrow() == LinkMode::Reset {
            set_reset_on_close(&caller);
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            set_reset_on_close(&caller);
            continue;
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(relay(caller, server, mode.clone())));
    }
}

/// Waits for a mode that `is_wanted`, for ever once the link has been dropped.
async fn await_mode<W>(mode: &mut watch::Receiver<LinkMode>, is_wanted: W)
where
    W: Fn(LinkMode) -> bool,
{
    if mode.wait_for(|mode| is_wanted(*mode)).await.is_err() {
        std::future::pending().await
    }
}

/// Listens at `address` with a full queue, so that new connections hang, until the mode changes.
async fn hold_silent(address: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let _ = socket.set_reuseaddr(true);
    let Ok(()) = socket.bind(address) else { return };
    let Ok(_listener) = socket.listen(SILENT_BACKLOG) else { return };
    let mut fillers = Vec::new();
    for _ in 0..=SILENT_BACKLOG {
        fillers.push(timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await);
    }
    let _ = mode.wait_for(|mode| !mode.hangs()).await;
}

/// Forwards both directions until one side closes or the link is reset.
async fn relay(mut caller: TcpStream, mut server: TcpStream, mode: watch::Receiver<LinkMode>) {
    let mut reset_watch = mode.clone();
    let ended = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        tokio::select! {
            () = forward(from_caller, to_server, mode.clone(), false) => true,
            () = forward(from_server, to_caller, mode, true) => true,
            _ = reset_watch.wait_for(|mode| mode.breaks_open()) => false,
        }
    };
    if !ended {
        set_reset_on_close(&caller);
        set_reset_on_close(&server);
    }
}

async fn forward<R, W>(
    mut from: R,
    mut to: W,
    mut mode: watch::Receiver<LinkMode>,
    is_response: bool,
) where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut chunk = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 {
            break;
        }
        let now = *mode.borrow();
        match now {
            LinkMode::Delayed(span) => sleep(span).await,
            LinkMode::Stalled | LinkMode::Silent => {
                let is_over =
                    |mode: &LinkMode| ![LinkMode::Stalled, LinkMode::Silent].contains(mode);
                let _ = mode.wait_for(is_over).await;
            }
            LinkMode::OneWay | LinkMode::Unanswered if is_response => continue,
            LinkMode::Open
            | LinkMode::OneWay
            | LinkMode::Unanswered
            | LinkMode::Reset
            | LinkMode::Refused
            | LinkMode::Cut => {}
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
}

/// Makes the socket send a reset instead of an orderly close when it is dropped.
fn set_reset_on_close(stream: &TcpStream) {
    // Fails only on a connection that is closed already.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
