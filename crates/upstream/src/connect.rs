//! TCP connections to upstreams.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time after which unacknowledged data breaks a connection.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without data after which the kernel probes the peer.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between two probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection whose kernel notices a peer that went silent.
///
/// # Errors
/// Fails if the peer does not accept the connection.
pub async fn connect_tcp(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream)?;
    Ok(stream)
}

/// Lets the kernel break `stream` when its peer no longer acknowledges.
///
/// # Errors
/// Fails if the socket refuses an option.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let millis = u32::try_from(TCP_USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    Ok(())
}
