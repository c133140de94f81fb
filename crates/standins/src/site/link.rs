//! A loopback proxy that a test puts between two processes, to delay, cut or silence what goes through.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// How a link behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// It passes everything on.
    #[default]
    Open,
    /// It passes everything on later.
    Delayed(Duration),
    /// It holds everything back; connections stay open.
    Stalled,
    /// It passes on what callers say and drops what is answered.
    OneWay,
    /// It resets all connections and opens none.
    Reset,
}

/// A link to one address; it ends when dropped.
#[derive(Debug)]
pub struct SiteLink {
    /// Address that callers use.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    _stop: DropGuard,
}

impl SiteLink {
    /// Opens a link to `target` on a loopback port.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, seen) = watch::channel(LinkMode::Open);
        let stop = CancellationToken::new();
        let accepting = accept(listener, target, seen, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self { address, mode, _stop: stop.drop_guard() })
    }

    /// Sets how it behaves from now on.
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
            reset(&caller);
            continue;
        }
        let Ok(callee) = TcpStream::connect(target).await else {
            reset(&caller);
            continue;
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(join(caller, callee, mode.clone())));
    }
}

/// Carries bytes both ways until one side ends or the link is reset.
async fn join(mut caller: TcpStream, mut callee: TcpStream, mode: watch::Receiver<LinkMode>) {
    let mut resetting = mode.clone();
    let ended = {
        let (from_caller, to_caller) = caller.split();
        let (from_callee, to_callee) = callee.split();
        tokio::select! {
            () = carry(from_caller, to_callee, mode.clone(), false) => true,
            () = carry(from_callee, to_caller, mode, true) => true,
            _ = resetting.wait_for(|mode| *mode == LinkMode::Reset) => false,
        }
    };
    if !ended {
        reset(&caller);
        reset(&callee);
    }
}

async fn carry<R, W>(mut from: R, mut to: W, mut mode: watch::Receiver<LinkMode>, answers: bool)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut chunk = vec![0; CHUNK];
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
            LinkMode::OneWay if answers => continue,
            LinkMode::Open | LinkMode::OneWay | LinkMode::Reset => {}
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
