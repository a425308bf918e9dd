//! Clients that send commands at full speed and read what is sent to them.

use super::kind::FloodKind;
use magpiewell_pg::encode;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a blocked read or write waits before the flooder looks whether it is to stop.
const IO_TIMEOUT: Duration = Duration::from_millis(100);
const STACK_BYTES: usize = 128 * 1024;
/// The message with which a client ends its connection.
const TERMINATE: [u8; 5] = [b'X', 0, 0, 0, 4];

/// What is sent, and by how many clients.
#[derive(Clone, Copy, Debug)]
pub struct FloodShape {
    pub kind: FloodKind,
    pub flooders: usize,
    /// Whether each batch of commands is sent on a new connection, which the batch ends; otherwise a flooder
    /// keeps writing on its connection as long as it stays open.
    pub reconnect: bool,
}

/// Running flooders, until they are stopped.
pub struct Flooders {
    stop_requested: Arc<AtomicBool>,
    commands: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Flooders {
    pub fn start(addr: SocketAddr, shape: FloodShape) -> Flooders {
        let (stop_requested, commands) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let spawn_flooder = |client: usize| {
            let flooder = Flooder {
                addr,
                shape,
                client,
                next_number: 0,
                stop_requested: stop_requested.clone(),
                commands: commands.clone(),
            };
            std::thread::Builder::new().stack_size(STACK_BYTES).spawn(|| flooder.run()).ok()
        };
        let threads = (0..shape.flooders).filter_map(spawn_flooder).collect();
        Flooders { stop_requested, commands, threads }
    }

    /// Stops all flooders and returns how many commands they have sent.
    pub fn stop(self) -> u64 {
        self.stop_requested.store(true, Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        self.commands.load(Relaxed)
    }
}

struct Flooder {
    addr: SocketAddr,
    shape: FloodShape,
    client: usize,
    next_number: u64,
    stop_requested: Arc<AtomicBool>,
    commands: Arc<AtomicU64>,
}

impl Flooder {
    fn run(mut self) {
        while !self.is_stopped() {
            let Ok(stream) = TcpStream::connect(self.addr) else { continue };
            let _ = stream.set_read_timeout(Some(IO_TIMEOUT));
            let _ = stream.set_write_timeout(Some(IO_TIMEOUT));
            self.flood(stream);
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop_requested.load(Relaxed)
    }

    /// Floods one connection until the router closes it.
    fn flood(&mut self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        encode::startup_message(&mut bytes, "svc", "main");
        if self.shape.reconnect {
            self.append_batch(&mut bytes);
            bytes.extend_from_slice(&TERMINATE);
            if self.write(&mut stream, &bytes) {
                self.read_to_end(&stream);
            }
            return;
        }
        let Ok(reading) = stream.try_clone() else { return };
        std::thread::scope(|scope| {
            scope.spawn(|| self.read_to_end(&reading));
            while self.write(&mut stream, &bytes) {
                bytes.clear();
                let (mut numbers, kind) = (self.next_number.., self.shape.kind);
                numbers.by_ref().take(kind.batch_size()).for_each(|number| {
                    kind.append_command(&mut bytes, self.client, number);
                });
                self.commands.fetch_add(kind.batch_size() as u64, Relaxed);
            }
            drop(stream.shutdown(Shutdown::Both));
        });
        // Ids of a new connection are new ones.
        self.next_number += 1 << 32;
    }

    fn append_batch(&mut self, bytes: &mut Vec<u8>) {
        let kind = self.shape.kind;
        for _ in 0..kind.batch_size() {
            kind.append_command(bytes, self.client, self.next_number);
            self.next_number += 1;
        }
        self.commands.fetch_add(kind.batch_size() as u64, Relaxed);
    }

    /// Writes all bytes; false once the connection has ended or the flood is over.
    fn write(&self, stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() && !self.is_stopped() {
            match stream.write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(e) if is_timeout(&e) => {}
                Err(_) => return false,
            }
        }
        !self.is_stopped()
    }

    fn read_to_end(&self, mut stream: &TcpStream) {
        let mut chunk = [0; 16 * 1024];
        while !self.is_stopped() {
            match stream.read(&mut chunk) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {}
                Err(_) => return,
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), Interrupted | TimedOut | WouldBlock)
}
