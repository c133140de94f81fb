//! TCP connections that detect a dead peer within seconds.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::{TcpSocket, TcpStream};

/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle time after which the kernel sends the first keepalive probe.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Time between two keepalive probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection with dead-peer detection enabled.
///
/// # Errors
/// Fails if the peer does not accept the connection, or if the socket rejects an option.
pub async fn connect_tcp(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream)?;
    Ok(stream)
}

/// Opens a connection from the local address `source` with dead-peer detection enabled.
///
/// # Errors
/// Fails if no socket can be bound there, if the peer does not accept the connection, or if the
/// socket rejects an option.
pub async fn connect_tcp_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(address).await?;
    enable_dead_peer_detection(&stream)?;
    Ok(stream)
}

/// Lets the kernel close `stream` when its peer stops acknowledging data or keepalive probes. Also
/// disables Nagle's algorithm.
///
/// # Errors
/// Fails if the socket rejects an option.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let millis = u32::try_from(TCP_USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    Ok(())
}
