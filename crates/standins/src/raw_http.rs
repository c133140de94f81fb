//! A minimal HTTP/1.1 server whose handlers write raw bytes, so that responses may violate the
//! protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// Largest request that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Index of the connection that it came on, from 0.
    pub connection: u64,
    /// Index of the request on its connection, from 0.
    pub index: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query string.
    pub target: String,
    /// Header names in lower case, with their values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Body, empty without a `content-length`.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns the first value of the header `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }
}

/// What happens to a connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// It stays open for the next request.
    Keep,
    /// It is closed at once.
    Close,
    /// It stays open, but nothing more is read or sent.
    Stall,
}

type RequestHandler = dyn for<'a> Fn(RawRequest, &'a mut TcpStream) -> BoxFuture<'a, io::Result<ConnectionAction>>
    + Send
    + Sync;

/// A server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    acceptor: AbortHandle,
}

impl RawServer {
    /// Starts a server on a loopback port chosen by the system.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start<H>(handler: H) -> io::Result<Self>
    where
        H: for<'a> Fn(RawRequest, &'a mut TcpStream) -> BoxFuture<'a, io::Result<ConnectionAction>>
            + Send
            + Sync
            + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let acceptor = tokio::spawn(accept_connections(listener, Arc::new(handler))).abort_handle();
        Ok(Self { address, acceptor })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops like a crashed process: every connection breaks, and no new one is accepted.
    pub fn stop(&self) {
        self.acceptor.abort();
    }

    /// Returns a handle that stops the server.
    pub fn stop_handle(&self) -> AbortHandle {
        self.acceptor.clone()
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept_connections(listener: TcpListener, handler: Arc<RequestHandler>) {
    // Aborting this task ends all connections, like the end of a process.
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

/// Sends a complete response with the given headers and the right `content-length`.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn send_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    send_with_length(stream, status, headers, body, body.len()).await
}

/// Sends a response that declares `length`, whatever the length of `body`.
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

/// Sends the head of a response with chunked transfer encoding.
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

/// Sends one chunk; an empty one ends the response.
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
