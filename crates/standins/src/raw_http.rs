//! A small HTTP/1.1 server whose answers may break every rule of the protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// Largest request that the stand-ins read.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// One request, as it came.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Number of the connection it came on, counted from 0.
    pub connection: u64,
    /// Number of the request on its connection, counted from 0.
    pub index: u64,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns the first value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }
}

/// Whether a connection takes another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// It does.
    Keep,
    /// It is closed.
    Close,
    /// It stays open and never says anything again.
    Stall,
}

type RequestHandler = dyn for<'a> Fn(RawRequest, &'a mut TcpStream) -> BoxFuture<'a, io::Result<ConnectionAction>>
    + Send
    + Sync;

/// A server that lives until it is stopped or dropped.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    acceptor: AbortHandle,
}

impl RawServer {
    /// Starts a server on a port chosen by the system.
    ///
    /// # Errors
    /// Fails if no port can be had.
    pub async fn start<H>(handler: H) -> io::Result<Self>
    where
        H: for<'a> Fn(RawRequest, &'a mut TcpStream) -> BoxFuture<'a, io::Result<ConnectionAction>>
            + Send
            + Sync
            + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let acceptor = tokio::spawn(accept_all(listener, Arc::new(handler))).abort_handle();
        Ok(Self { address, acceptor })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops as a process that dies: every connection breaks, and no new one is accepted.
    pub fn stop(&self) {
        self.acceptor.abort();
    }

    /// Returns a handle that stops the server.
    pub fn stopper(&self) -> AbortHandle {
        self.acceptor.clone()
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept_all(listener: TcpListener, handler: Arc<RequestHandler>) {
    // Connections end with this task, as they would with a process.
    let mut connections = JoinSet::new();
    let mut number = 0;
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve_stream(stream, number, handler.clone()));
                number += 1;
            }
            Some(_) = connections.join_next() => (),
        }
    }
}

async fn serve_stream(mut stream: TcpStream, connection: u64, handler: Arc<RequestHandler>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    for index in 0.. {
        let Ok(Some(mut request)) = read_request(&mut stream, &mut buffer).await else { return };
        (request.connection, request.index) = (connection, index);
        match handler(request, &mut stream).await {
            Ok(ConnectionAction::Keep) => (),
            Ok(ConnectionAction::Stall) => std::future::pending().await,
            Ok(ConnectionAction::Close) | Err(_) => return,
        }
    }
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<RawRequest>> {
    loop {
        if let Some((request, length)) = parse_request(buffer) {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        if buffer.len() > MAX_REQUEST_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse_request(buffer: &[u8]) -> Option<(RawRequest, usize)> {
    let head_length = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..head_length]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let mut request = RawRequest {
        method: first.next()?.to_owned(),
        target: first.next()?.to_owned(),
        ..RawRequest::default()
    };
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let lower = |(name, value): (&str, &str)| (name.to_ascii_lowercase(), value.trim().to_owned());
    request.headers = pairs.map(lower).collect();
    let declared = request.header("content-length").and_then(|text| text.parse().ok());
    let start = head_length + 4;
    let end = start + declared.unwrap_or(0);
    request.body = buffer.get(start..end)?.to_vec();
    Some((request, end))
}

/// Sends a whole answer with the given extra header lines.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn send_whole(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    send_with_length(stream, status, headers, body, body.len()).await
}

/// Sends an answer that declares `length`, whatever the length of `body`.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn send_with_length(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    length: usize,
) -> io::Result<()> {
    let mut message = head_text(status, headers);
    message.push_str(&format!("content-length: {length}\r\n\r\n"));
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).await
}

/// Sends the head of an answer that comes in chunks.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn send_chunked_head(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
) -> io::Result<()> {
    let mut message = head_text(status, headers);
    message.push_str("transfer-encoding: chunked\r\n\r\n");
    stream.write_all(message.as_bytes()).await
}

/// Sends one chunk; an empty one ends the answer.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn send_chunk(stream: &mut TcpStream, content: &[u8]) -> io::Result<()> {
    let mut message = format!("{:x}\r\n", content.len()).into_bytes();
    message.extend_from_slice(content);
    message.extend_from_slice(b"\r\n");
    stream.write_all(&message).await
}

fn head_text(status: &str, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}
