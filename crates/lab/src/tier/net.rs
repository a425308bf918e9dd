//! Sockets of the laboratory: wildcard listeners bound to the loopback interface, so that one listener serves
//! every address of a run, and non-blocking connections. Bytes that a link fault holds back stay in the
//! kernel or in [`BufferedStream::outgoing`].

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Time on the machine's monotonic clock in ms; all processes of a run share it.
pub fn monotonic_now_ms() -> f64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}

/// The start of a run, on the monotonic clock and as Unix time, both in ms.
#[derive(Clone, Copy, Debug)]
pub struct Epoch {
    pub monotonic_ms: f64,
    pub unix_ms: f64,
}

impl Epoch {
    /// A run that starts in `in_ms` ms.
    pub fn starting_in(in_ms: f64) -> Epoch {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Epoch { monotonic_ms: monotonic_now_ms() + in_ms, unix_ms: unix.as_secs_f64() * 1e3 + in_ms }
    }

    /// Ms since the start of the run; negative before it.
    pub fn now(&self) -> f64 {
        monotonic_now_ms() - self.monotonic_ms
    }
}

fn on_loopback(kind: Type, protocol: Protocol, port: u16) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, kind, Some(protocol))?;
    // Accepts nothing from outside the loopback interface.
    socket.bind_device(Some(b"lo"))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)).into())?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Listens for connections to any loopback address at this port.
pub fn listen(port: u16) -> Result<TcpListener, String> {
    let bind = || {
        let socket = on_loopback(Type::STREAM, Protocol::TCP, port)?;
        socket.listen(4_096)?;
        Ok(TcpListener::from_std(socket.into()))
    };
    bind().map_err(|e: std::io::Error| format!("cannot listen on port {port}: {e}"))
}

/// Receives datagrams to any loopback address at this port.
pub fn bind_udp(port: u16) -> Result<UdpSocket, String> {
    let bind = || {
        let socket = on_loopback(Type::DGRAM, Protocol::UDP, port)?;
        let _ = socket.set_recv_buffer_size(8 << 20);
        Ok(UdpSocket::from_std(socket.into()))
    };
    bind().map_err(|e: std::io::Error| format!("cannot bind UDP port {port}: {e}"))
}

/// A non-blocking connection with the bytes that were received but not processed, and those not yet sent.
pub struct BufferedStream {
    pub stream: TcpStream,
    pub received: Vec<u8>,
    pub outgoing: Vec<u8>,
    /// The other side has closed or reset the connection.
    pub closed: bool,
}

impl BufferedStream {
    pub fn new(stream: TcpStream) -> BufferedStream {
        let _ = stream.set_nodelay(true);
        BufferedStream { stream, received: Vec::new(), outgoing: Vec::new(), closed: false }
    }

    pub fn connect(to: SocketAddrV4) -> std::io::Result<BufferedStream> {
        Ok(BufferedStream::new(TcpStream::connect(SocketAddr::V4(to))?))
    }

    pub fn register(&mut self, registry: &Registry, token: Token) -> std::io::Result<()> {
        self.stream.register(registry, token, Interest::READABLE | Interest::WRITABLE)
    }

    /// Reads all bytes that are available.
    pub fn read(&mut self) {
        let mut chunk = [0; 16 * 1024];
        while !self.closed {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.closed = true,
                Ok(n) => self.received.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.closed = true,
            }
        }
    }

    /// Writes as many outgoing bytes as the kernel takes.
    pub fn write(&mut self) {
        while !self.outgoing.is_empty() && !self.closed {
            match self.stream.write(&self.outgoing) {
                Ok(n) => drop(self.outgoing.drain(..n)),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.closed = true,
            }
        }
    }

    /// Makes the connection be reset when it is dropped.
    pub fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// The local address: the one that the other side connected to.
    pub fn local_addr(&self) -> Option<SocketAddrV4> {
        match self.stream.local_addr() {
            Ok(SocketAddr::V4(addr)) => Some(addr),
            _ => None,
        }
    }
}
