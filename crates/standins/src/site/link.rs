//! A loopback TCP proxy that a test puts between two processes to inject network faults.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
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
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
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

/// Forwards both directions until one side closes or the link is reset.
async fn relay(mut caller: TcpStream, mut server: TcpStream, mode: watch::Receiver<LinkMode>) {
    let mut reset_watch = mode.clone();
    let ended = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        tokio::select! {
            () = forward(from_caller, to_server, mode.clone(), false) => true,
            () = forward(from_server, to_caller, mode, true) => true,
            _ = reset_watch.wait_for(|mode| *mode == LinkMode::Reset) => false,
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
            LinkMode::Stalled => {
                let _ = mode.wait_for(|mode| *mode != LinkMode::Stalled).await;
            }
            LinkMode::OneWay if is_response => continue,
            LinkMode::Open | LinkMode::OneWay | LinkMode::Reset => {}
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
