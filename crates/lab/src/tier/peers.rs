//! Proxy between peers: one socket receives every datagram that routers send to one another, each pair at an
//! address of its own. It forwards the datagram from the address that the receiver expects, with the faults
//! of the script: lost, duplicated, delayed, or held back and then delivered all at once.

use super::net::{self, Epoch};
use super::plan::Plan;
use super::record::{Record, Seen};
use super::script::{What, decode_peer_pair, random_unit};
use nix::sys::socket::{
    ControlMessage, ControlMessageOwned, MsgFlags, SockaddrIn, recvmsg, sendmsg, setsockopt, sockopt,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{IoSlice, IoSliceMut};
use std::net::Ipv4Addr;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The longest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The receiver number that stands for all routers: the highest that an address can encode.
pub const BROADCAST: usize = 1_023;
/// Interval at which the numbers of datagrams and bytes are recorded.
const REPORT_INTERVAL_MS: f64 = 1_000.0;

/// A datagram to be forwarded at its due time.
struct Held {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Forwards datagrams until the run ends; returns the recorded events.
pub fn run(plan: &Plan, epoch: Epoch) -> Result<Record, String> {
    let s = &plan.script;
    let mut poll = mio::Poll::new().map_err(|e| e.to_string())?;
    let mut socket = net::bind_udp(s.peer_proxy_addr(0, 0).port())?;
    setsockopt(&socket, sockopt::Ipv4PacketInfo, &true).map_err(|e| e.to_string())?;
    poll.registry()
        .register(&mut socket, mio::Token(0), mio::Interest::READABLE)
        .map_err(|e| e.to_string())?;
    let mut events = mio::Events::with_capacity(16);
    // Due times in microseconds, so that they are ordered, and the numbers of the held datagrams.
    let (mut order, mut held) = (BinaryHeap::<Reverse<(u64, u64)>>::new(), HashMap::<u64, Held>::new());
    let (mut next, mut rng, mut forgery_rng) = (0, s.rng(77), s.rng(78));
    // Datagrams and bytes that each router has sent since they were last recorded.
    let (mut sent, mut record, mut report_at, mut forged_at) =
        (vec![(0, 0); s.routers], Record::new(), 0.0, 0.0);
    loop {
        let now = epoch.now();
        let wait = order.peek().map_or(5.0, |Reverse((at, _))| *at as f64 / 1e3 - now).clamp(0.0, 5.0);
        match poll.poll(&mut events, Some(Duration::from_secs_f64(wait / 1e3))) {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
            _ => {}
        }
        let now = epoch.now();
        while let Some((from, to, bytes)) = receive(socket.as_raw_fd()) {
            if from >= s.routers || bytes.len() > MAX_DATAGRAM_BYTES {
                continue;
            }
            sent[from].0 += 1;
            sent[from].1 += bytes.len() as u32;
            let to: Vec<usize> = if to == BROADCAST { (0..s.routers).collect() } else { vec![to] };
            for to in to.into_iter().filter(|to| *to < s.routers && *to != from) {
                let link = plan.peer_link(from, to, now);
                if random_unit(&mut rng) < link.loss {
                    continue;
                }
                let copies = if random_unit(&mut rng) < link.duplication { 2 } else { 1 };
                for copy in 0..copies {
                    let jitter =
                        0.2 + random_unit(&mut rng) * 0.8 + f64::from(copy) * 30.0 * random_unit(&mut rng);
                    // Datagrams on a stalled link wait for the end of the fault and arrive together.
                    let due = link.stalled_until.unwrap_or(now)
                        + link.delay_ms * (0.5 + random_unit(&mut rng))
                        + jitter;
                    next += 1;
                    held.insert(next, Held { from, to, bytes: bytes.clone() });
                    order.push(Reverse(((due * 1e3) as u64, next)));
                }
            }
        }
        inject_forged(plan, now, &mut forged_at, &mut forgery_rng, |from, to, bytes| {
            next += 1;
            held.insert(next, Held { from, to, bytes });
            order.push(Reverse(((now * 1e3) as u64, next)));
        });
        while let Some(Reverse((at, number))) = order.peek().copied() {
            if at as f64 / 1e3 > now {
                break;
            }
            order.pop();
            if let Some(Held { from, to, bytes }) = held.remove(&number) {
                // The source is the address at which the receiver reaches the sender.
                forward(
                    socket.as_raw_fd(),
                    *s.peer_proxy_addr(to, from).ip(),
                    s.peer_listen_addr(to),
                    &bytes,
                );
            }
        }
        let is_over = now >= plan.ends_at();
        if now >= report_at || is_over {
            report_at = now + REPORT_INTERVAL_MS;
            for (router, (datagrams, bytes)) in sent.iter_mut().enumerate().filter(|(_, (n, _))| *n > 0) {
                record
                    .push((now, Seen::Peers { router: router as u32, datagrams: *datagrams, bytes: *bytes }));
                (*datagrams, *bytes) = (0, 0);
            }
        }
        if is_over {
            return Ok(record);
        }
    }
}

/// Sends the datagrams of a [`What::Liar`] fault: random bytes from random routers to random routers.
/// `next_at` is the time of the next one; after a pause, at most one second of it is made up for.
fn inject_forged(
    plan: &Plan,
    now: f64,
    next_at: &mut f64,
    rng: &mut ChaCha8Rng,
    mut send: impl FnMut(usize, usize, Vec<u8>),
) {
    let rate = plan.active_faults(now).find_map(|(_, what)| match what {
        What::Liar { rate } => Some(*rate),
        _ => None,
    });
    let Some(rate) = rate.filter(|rate| *rate > 0.0) else { return };
    while *next_at < now {
        *next_at = next_at.max(now - 1_000.0) + 1_000.0 / rate;
        let mut bytes = vec![0; 1 + (random_unit(rng) * MAX_DATAGRAM_BYTES as f64) as usize];
        rng.fill_bytes(&mut bytes);
        let routers = plan.script.routers as f64;
        send((random_unit(rng) * routers) as usize, (random_unit(rng) * routers) as usize, bytes);
    }
}

/// The next datagram: its sending and receiving router, as its destination address encodes them, and its
/// bytes.
fn receive(socket: i32) -> Option<(usize, usize, Vec<u8>)> {
    let mut buf = [0u8; 2 * MAX_DATAGRAM_BYTES];
    let mut buffers = [IoSliceMut::new(&mut buf)];
    let mut control = nix::cmsg_space!(nix::libc::in_pktinfo);
    let message =
        recvmsg::<SockaddrIn>(socket, &mut buffers, Some(&mut control), MsgFlags::MSG_DONTWAIT).ok()?;
    let length = message.bytes;
    let destination = message.cmsgs().ok()?.find_map(|c| match c {
        ControlMessageOwned::Ipv4PacketInfo(info) => Some(Ipv4Addr::from(u32::from_be(info.ipi_addr.s_addr))),
        _ => None,
    })?;
    let (from, to) = decode_peer_pair(&destination);
    Some((from, to, buf[..length].to_vec()))
}

/// Sends a datagram with the given source address.
fn forward(socket: i32, from: Ipv4Addr, to: std::net::SocketAddrV4, bytes: &[u8]) {
    let source = nix::libc::in_addr { s_addr: u32::from(from).to_be() };
    let info = nix::libc::in_pktinfo { ipi_ifindex: 0, ipi_spec_dst: source, ipi_addr: source };
    let parts = [IoSlice::new(bytes)];
    let control = [ControlMessage::Ipv4PacketInfo(&info)];
    // An error means that the receiver is down: the datagram is lost, as on any network.
    let _ = sendmsg(socket, &parts, &control, MsgFlags::MSG_DONTWAIT, Some(&SockaddrIn::from(to)));
}
