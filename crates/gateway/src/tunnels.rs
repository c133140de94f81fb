//! Connections to upstreams through other hosts, for a host that is cut off from them.
//!
//! The host that serves a tunnel passes bytes on and decides nothing: the host whose caller it is
//! chooses the upstream, counts the call and checks whether it may be sent. Bytes from the upstream
//! come in frames, of which an empty one stands for their end: the connection of a host that dies
//! must not look like a response that ends with its connection.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::tunnel_places::TunnelPlaces;
use dotterellane_units::UpstreamId;
use dotterellane_upstream::connect::{connect_tcp_from, enable_dead_peer_detection};
use futures::stream::BoxStream;
use futures::{SinkExt, StreamExt, future, stream};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, copy};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use crate::exchange::{self, CONNECT_TIMEOUT, ConnectFailure, ExchangeError, bound_unread};
use crate::permits::SendTarget;
use crate::reach;
use crate::state::{Host, HostState, KnownPeer};

/// Time within which the serving host connects to the upstream.
const SERVED_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 << 10;

/// Other hosts that are asked for one connection at most.
const MAX_PEERS_ASKED: usize = 2;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Callers' connections for each tunnel that a host serves.
const CONNECTIONS_PER_TUNNEL: u32 = 16;

/// Maximum number of tunnels that a host serves.
const MAX_TUNNELS: u32 = 256;

/// Which upstream a tunnel is to end at.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct TunnelRequest {
    upstream: UpstreamId,
    /// Start time of the upstream, in milliseconds, as its row states it.
    started_at: u64,
}

/// What came of a request for a tunnel; sent as one byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
enum TunnelAnswer {
    /// The connection to the upstream stands.
    Open = 0,
    /// The upstream refused the connection.
    Refused = 1,
    /// The upstream did not answer.
    Unanswered = 2,
    /// The host passes nothing on now: it is full, leaves, or may be cut off itself.
    NotServed = 3,
}

impl TunnelAnswer {
    fn from_byte(byte: u8) -> Self {
        match byte {
            0 => Self::Open,
            1 => Self::Refused,
            2 => Self::Unanswered,
            _ => Self::NotServed,
        }
    }
}

/// Returns how many tunnels a host serves that has room for `connections` of callers.
pub fn places(connections: u32) -> usize {
    (connections / CONNECTIONS_PER_TUNNEL).clamp(1, MAX_TUNNELS) as usize
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// A connection to an upstream through another host.
pub struct TunnelStream {
    reader: StreamReader<BoxStream<'static, io::Result<BytesMut>>, BytesMut>,
    writer: OwnedWriteHalf,
}

impl std::fmt::Debug for TunnelStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TunnelStream").field("writer", &self.writer).finish_non_exhaustive()
    }
}

impl TunnelStream {
    fn new(reader: OwnedReadHalf, writer: OwnedWriteHalf) -> Self {
        let broken = io::Error::new(io::ErrorKind::UnexpectedEof, "the tunnel broke off");
        let frames = FramedRead::new(reader, codec()).chain(stream::iter([Err(broken)]));
        let is_data = |frame: &io::Result<BytesMut>| !matches!(frame, Ok(data) if data.is_empty());
        let frames = frames.take_while(move |frame| future::ready(is_data(frame)));
        Self { reader: StreamReader::new(frames.boxed()), writer }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}

/// Opens a connection to an upstream through a host that reaches some.
///
/// # Errors
/// Fails if no host opens one, or if the upstream does not accept it.
pub async fn open_tunnel(
    host: &Arc<Host>,
    target: &SendTarget,
    span: Duration,
) -> Result<TunnelStream, ExchangeError> {
    let mut asked = Vec::new();
    let mut cause = "no host reaches upstreams".to_owned();
    while asked.len() < MAX_PEERS_ASKED {
        let Some(peer) = pick_peer(&host.state(), host, &target.regions, &asked) else { break };
        asked.push(peer);
        let asking = ask_for_tunnel(host, peer, target);
        let answered = timeout(CONNECT_TIMEOUT.min(span), asking).await;
        let (outcome, ended) = match answered {
            Ok(Ok((stream, TunnelAnswer::Open))) => ("opened", Ok(stream)),
            Ok(Ok((_, TunnelAnswer::Refused))) => ("refused", Err(Some(ConnectFailure::Refused))),
            Ok(Ok((_, TunnelAnswer::Unanswered))) => {
                ("unanswered", Err(Some(ConnectFailure::Unanswered)))
            }
            Ok(Ok((_, TunnelAnswer::NotServed))) => ("not_served", Err(None)),
            Ok(Err(error)) => {
                cause = error.to_string();
                ("failed", Err(None))
            }
            Err(_elapsed) => ("silent", Err(None)),
        };
        host.metrics.tunnels.with_label_values(&["opened", outcome]).inc();
        match ended {
            Ok(stream) => return Ok(stream),
            Err(Some(failure)) => {
                let cause = format!("through {peer}: {outcome}");
                return Err(ExchangeError::NotSent { peer: target.address, cause, failure });
            }
            Err(None) => cause = format!("through {peer}: {outcome}, {cause}"),
        }
    }
    let failure = ConnectFailure::Unrelated;
    Err(ExchangeError::NotSent { peer: target.address, cause, failure })
}

/// Picks a host in one of `regions` that reaches upstreams, at random by processor capacity.
fn pick_peer(
    state: &HostState,
    host: &Host,
    regions: &AllowedRegions,
    asked: &[SocketAddr],
) -> Option<SocketAddr> {
    let region_of = |peer: &KnownPeer| host.settings.regions.get(peer.domain.as_ref()?);
    let able = || {
        let able = state.reaching_peers(host.now());
        let able = able.filter(|peer| regions.allow(region_of(peer)));
        able.filter(|peer| !asked.contains(&peer.address))
    };
    let weight = |processor: u32| u64::from(processor.max(1));
    let total: u64 = able().map(|peer| weight(peer.processor)).sum();
    if total == 0 {
        return None;
    }
    let mut left = rand::rng().random_range(0..total);
    able().find_map(|peer| {
        let weight = weight(peer.processor);
        let is_picked = left < weight;
        left = left.saturating_sub(weight);
        is_picked.then_some(peer.address)
    })
}

async fn ask_for_tunnel(
    host: &Host,
    peer: SocketAddr,
    target: &SendTarget,
) -> io::Result<(TunnelStream, TunnelAnswer)> {
    // The serving host knows this one by the address of its datagrams.
    let stream = connect_tcp_from(host.settings.peers.ip(), peer).await?;
    bound_unread(&stream);
    let (mut reader, writer) = stream.into_split();
    let request =
        TunnelRequest { upstream: target.upstream.clone(), started_at: target.started_at };
    let request = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    let mut framed = FramedWrite::new(writer, codec());
    framed.send(Bytes::from(request)).await?;
    let answer = TunnelAnswer::from_byte(reader.read_u8().await?);
    Ok((TunnelStream::new(reader, framed.into_inner()), answer))
}

/// A place for a tunnel of the host at `source`; given back on drop.
struct TunnelPlace<'a> {
    host: &'a Host,
    source: IpAddr,
}

impl<'a> TunnelPlace<'a> {
    fn take(host: &'a Host, source: IpAddr) -> Option<Self> {
        let granted = lock_places(host).take(source);
        granted.then_some(Self { host, source })
    }
}

impl Drop for TunnelPlace<'_> {
    fn drop(&mut self) {
        lock_places(self.host).release(self.source);
    }
}

fn lock_places(host: &Host) -> MutexGuard<'_, TunnelPlaces> {
    host.tunnel_places.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves tunnels of other hosts until the daemon ends.
pub async fn serve_tunnels(listener: TcpListener, host: Arc<Host>) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) if is_peer(&host, source) => {
                host.tasks.spawn(serve_tunnel(stream, source.ip(), host.clone()));
            }
            Ok((_, source)) => spdlog::warn!("tunnel of an unknown host refused", kv: {
                source = source.to_string().as_str(),
            }),
            Err(error) => {
                spdlog::warn!("accept failed", kv: { cause = error.to_string().as_str() });
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn is_peer(host: &Host, source: SocketAddr) -> bool {
    host.state().peers.values().any(|peer| peer.address.ip() == source.ip())
}

async fn serve_tunnel(stream: TcpStream, source: IpAddr, host: Arc<Host>) {
    let outcome = tokio::select! {
        served = pass_on(&host, stream, source) => match served {
            Ok(TunnelAnswer::Open) => "passed_on",
            Ok(TunnelAnswer::Refused | TunnelAnswer::Unanswered) => "upstream_failed",
            Ok(TunnelAnswer::NotServed) => "not_served",
            Err(_broken) => "broke",
        },
        () = host.abandoned.cancelled() => "abandoned",
    };
    host.metrics.tunnels.with_label_values(&["served", outcome]).inc();
}

async fn pass_on(host: &Arc<Host>, stream: TcpStream, source: IpAddr) -> io::Result<TunnelAnswer> {
    enable_dead_peer_detection(&stream)?;
    bound_unread(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut requests = FramedRead::new(reader, codec());
    let request = timeout(CONNECT_TIMEOUT, requests.next()).await?;
    let Some(request) = request.transpose()? else { return Ok(TunnelAnswer::NotServed) };
    let request = postcard::from_bytes(&request).map_err(io::Error::other)?;
    let place = TunnelPlace::take(host, source);
    let (answer, upstream) = match &place {
        Some(_) => connect_for(host, &request).await,
        None => (TunnelAnswer::NotServed, None),
    };
    writer.write_u8(answer as u8).await?;
    let Some(upstream) = upstream else { return Ok(answer) };
    let (from_upstream, mut to_upstream) = upstream.into_split();
    // A host closes its connection when it needs no more of the response.
    let mut reader = requests.into_inner();
    tokio::select! {
        sent = copy(&mut reader, &mut to_upstream) => sent.map(|_| ())?,
        received = send_frames(from_upstream, writer) => received?,
    }
    Ok(answer)
}

/// Connects to the upstream of a tunnel; a failure that may lie with this host is none of the
/// upstream's.
async fn connect_for(
    host: &Arc<Host>,
    request: &TunnelRequest,
) -> (TunnelAnswer, Option<TcpStream>) {
    let TunnelRequest { upstream, started_at } = request;
    let address = {
        let state = host.state();
        let known = state.directory.get(upstream).map(|known| &known.entry);
        let known = known.filter(|entry| entry.report.started_at == *started_at);
        let serves = !host.leaving.is_cancelled() && state.reach.cut_off_at().is_none();
        known.filter(|_| serves).map(|entry| entry.address)
    };
    let Some(address) = address else { return (TunnelAnswer::NotServed, None) };
    let connecting = timeout(SERVED_CONNECT_TIMEOUT, exchange::connect(address, CONNECT_TIMEOUT));
    let failure = match connecting.await {
        Ok(Ok(stream)) => {
            reach::note_connect(host, upstream, None);
            return (TunnelAnswer::Open, Some(stream));
        }
        Ok(Err(ExchangeError::NotSent { failure: ConnectFailure::Unrelated, .. })) => {
            return (TunnelAnswer::NotServed, None);
        }
        Ok(Err(ExchangeError::NotSent { failure, .. })) => failure,
        Ok(Err(_)) | Err(_) => ConnectFailure::Unanswered,
    };
    reach::note_connect(host, upstream, Some(failure));
    reach::ask_witnesses(host, upstream).await;
    let answer = match failure {
        _ if host.state().reach.is_in_doubt() => TunnelAnswer::NotServed,
        ConnectFailure::Refused => TunnelAnswer::Refused,
        ConnectFailure::Unanswered | ConnectFailure::Unrelated => TunnelAnswer::Unanswered,
    };
    (answer, None)
}

/// Sends what comes from the upstream as frames; an empty one at its orderly end.
async fn send_frames(mut from: OwnedReadHalf, to: OwnedWriteHalf) -> io::Result<()> {
    let mut frames = FramedWrite::new(to, codec());
    let mut buffer = BytesMut::with_capacity(MAX_FRAME_BYTES);
    loop {
        buffer.reserve(MAX_FRAME_BYTES);
        let mut limited = (&mut from).take(MAX_FRAME_BYTES as u64);
        let length = limited.read_buf(&mut buffer).await?;
        frames.send(buffer.split().freeze()).await?;
        if length == 0 {
            return SinkExt::<Bytes>::close(&mut frames).await;
        }
    }
}
