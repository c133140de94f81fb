//! A client of the daemons: HTTP/1.1 on a connection that it keeps.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response, as far as it arrived.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    /// Whether the body ended as its framing says.
    pub complete: bool,
    pub body: Vec<u8>,
}

/// A connection to a daemon.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Sends a request; returns once all of it was written.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes()).await?;
        self.stream.write_all(body).await
    }

    /// Reads the response; fails if the connection ends before its head is there.
    pub async fn reply(&mut self) -> io::Result<Reply> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).to_ascii_lowercase();
        self.buffer.drain(..head_end + 4);
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let value = |name: &str| {
            head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim).map(str::to_owned)
        };
        let length = value("content-length:").and_then(|text| text.parse::<usize>().ok());
        let mut reply = Reply { status, complete: false, body: Vec::new() };
        if let Some(length) = length {
            while self.buffer.len() < length {
                if !self.fill().await.unwrap_or(false) {
                    return Ok(reply);
                }
            }
            reply.body = self.buffer.drain(..length).collect();
            reply.complete = true;
            return Ok(reply);
        }
        // The daemon sends all other bodies in chunks.
        loop {
            let line = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                if !self.fill().await.unwrap_or(false) {
                    return Ok(reply);
                }
            };
            let text = String::from_utf8_lossy(&self.buffer[..line]).to_string();
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return Ok(reply) };
            while self.buffer.len() < line + 2 + size + 2 {
                if !self.fill().await.unwrap_or(false) {
                    return Ok(reply);
                }
            }
            reply.body.extend_from_slice(&self.buffer[line + 2..line + 2 + size]);
            self.buffer.drain(..line + 2 + size + 2);
            if size == 0 {
                reply.complete = true;
                return Ok(reply);
            }
        }
    }

    async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }
}

fn find(text: &[u8], wanted: &[u8]) -> Option<usize> {
    text.windows(wanted.len()).position(|window| window == wanted)
}
