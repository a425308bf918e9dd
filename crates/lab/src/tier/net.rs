//! Sockets of the laboratory: wildcard listeners bound to the loopback interface, so that one serves every address of a
//! play, and connections that never wait. What a link's fault holds back stays in the kernel or in `out`.

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Time that all processes of a play agree on, in ms: the machine's monotonic clock.
pub fn monotonic_now_ms() -> f64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}

/// When a play began, on the monotonic clock and as Unix ms.
#[derive(Clone, Copy, Debug)]
pub struct Epoch {
    pub monotonic_ms: f64,
    pub unix_ms: f64,
}

impl Epoch {
    /// Begins in so many ms.
    pub fn starting_in(in_ms: f64) -> Epoch {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Epoch { monotonic_ms: monotonic_now_ms() + in_ms, unix_ms: unix.as_secs_f64() * 1e3 + in_ms }
    }

    /// Ms since the play's start.
    pub fn now(&self) -> f64 {
        monotonic_now_ms() - self.monotonic_ms
    }
}

fn on_loopback(kind: Type, protocol: Protocol, port: u16) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, kind, Some(protocol))?;
    // Nothing from outside the machine's loopback ever gets here.
    socket.bind_device(Some(b"lo"))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)).into())?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Takes connections to any loopback address at this port.
pub fn listen(port: u16) -> Result<TcpListener, String> {
    let open = || {
        let socket = on_loopback(Type::STREAM, Protocol::TCP, port)?;
        socket.listen(4_096)?;
        Ok(TcpListener::from_std(socket.into()))
    };
    open().map_err(|e: std::io::Error| format!("cannot listen at port {port}: {e}"))
}

pub fn bind_udp(port: u16) -> Result<UdpSocket, String> {
    let open = || {
        let socket = on_loopback(Type::DGRAM, Protocol::UDP, port)?;
        let _ = socket.set_recv_buffer_size(8 << 20);
        Ok(UdpSocket::from_std(socket.into()))
    };
    open().map_err(|e: std::io::Error| format!("cannot hear at port {port}: {e}"))
}

/// A connection.
pub struct BufferedStream {
    pub stream: TcpStream,
    pub received: Vec<u8>,
    pub outgoing: Vec<u8>,
    /// The other side has ended or broken it.
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

    /// Takes in what is there.
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

    /// Writes what the other side takes.
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

    /// Has the connection reset when it is dropped.
    pub fn reset(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// The address that the other side meant.
    pub fn local_addr(&self) -> Option<SocketAddrV4> {
        match self.stream.local_addr() {
            Ok(SocketAddr::V4(at)) => Some(at),
            _ => None,
        }
    }
}
