//! Between peers: one socket takes every datagram that routers tell one another, each pair at an address of its own, and
//! passes it on as the script has it: late, doubled, lost, held back and then all at once, from the right address.

use super::net::{self, Epoch};
use super::plan::Plan;
use super::record::{Record, Seen};
use super::script::{What, peer_ends, random_unit};
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

/// The longest datagram that is passed on.
const MOST: usize = 256;
/// The highest number that an address can hold as receiver: to all.
pub const ALL: usize = 1_023;
const NOTE_MS: f64 = 1_000.0;

struct Held {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Passes on until the play is over.
pub fn run(plan: &Plan, epoch: Epoch) -> Result<Record, String> {
    let s = &plan.script;
    let mut poll = mio::Poll::new().map_err(|e| e.to_string())?;
    let mut socket = net::bind_udp(s.peer_at(0, 0).port())?;
    setsockopt(&socket, sockopt::Ipv4PacketInfo, &true).map_err(|e| e.to_string())?;
    poll.registry()
        .register(&mut socket, mio::Token(0), mio::Interest::READABLE)
        .map_err(|e| e.to_string())?;
    let mut events = mio::Events::with_capacity(16);
    let (mut order, mut held) = (BinaryHeap::<Reverse<(u64, u64)>>::new(), HashMap::<u64, Held>::new());
    let (mut next, mut chance, mut lies) = (0, s.rng(77), s.rng(78));
    let (mut told, mut record, mut note_at, mut lied_at) = (vec![(0, 0); s.routers], Record::new(), 0.0, 0.0);
    loop {
        let now = epoch.now();
        let wait = order.peek().map_or(5.0, |Reverse((at, _))| *at as f64 / 1e3 - now).clamp(0.0, 5.0);
        match poll.poll(&mut events, Some(Duration::from_secs_f64(wait / 1e3))) {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
            _ => {}
        }
        let now = epoch.now();
        while let Some((from, to, bytes)) = take(socket.as_raw_fd()) {
            if from >= s.routers || bytes.len() > MOST {
                continue;
            }
            told[from].0 += 1;
            told[from].1 += bytes.len() as u32;
            let to: Vec<usize> = if to == ALL { (0..s.routers).collect() } else { vec![to] };
            for to in to.into_iter().filter(|to| *to < s.routers && *to != from) {
                let way = plan.peer_way(from, to, now);
                if random_unit(&mut chance) < way.loses {
                    continue;
                }
                let copies = if random_unit(&mut chance) < way.doubles { 2 } else { 1 };
                for copy in 0..copies {
                    let jitter = 0.2
                        + random_unit(&mut chance) * 0.8
                        + f64::from(copy) * 30.0 * random_unit(&mut chance);
                    // Stalled, it waits for the end of that, and all come together.
                    let due = way.stalled_until.unwrap_or(now)
                        + way.delay * (0.5 + random_unit(&mut chance))
                        + jitter;
                    next += 1;
                    held.insert(next, Held { from, to, bytes: bytes.clone() });
                    order.push(Reverse(((due * 1e3) as u64, next)));
                }
            }
        }
        lie(plan, now, &mut lied_at, &mut lies, |from, to, bytes| {
            next += 1;
            held.insert(next, Held { from, to, bytes });
            order.push(Reverse(((now * 1e3) as u64, next)));
        });
        while let Some(Reverse((at, no))) = order.peek().copied() {
            if at as f64 / 1e3 > now {
                break;
            }
            order.pop();
            if let Some(Held { from, to, bytes }) = held.remove(&no) {
                // Towards the receiver, the sender is where the receiver would answer to.
                pass(socket.as_raw_fd(), *s.peer_at(to, from).ip(), s.hears_at(to), &bytes);
            }
        }
        let over = now >= plan.ends_at();
        if now >= note_at || over {
            note_at = now + NOTE_MS;
            for (router, (datagrams, bytes)) in told.iter_mut().enumerate().filter(|(_, (n, _))| *n > 0) {
                record
                    .push((now, Seen::Peers { router: router as u32, datagrams: *datagrams, bytes: *bytes }));
                (*datagrams, *bytes) = (0, 0);
            }
        }
        if over {
            return Ok(record);
        }
    }
}

/// Datagrams of whoever shouts, as the script has it: noise, and what a router once told with some bytes changed.
fn lie(
    plan: &Plan,
    now: f64,
    at: &mut f64,
    chance: &mut ChaCha8Rng,
    mut tell: impl FnMut(usize, usize, Vec<u8>),
) {
    let rate = plan.faults(now).find_map(|(_, what)| match what {
        What::Liar { rate } => Some(*rate),
        _ => None,
    });
    let Some(rate) = rate.filter(|rate| *rate > 0.0) else { return };
    while *at < now {
        *at = at.max(now - 1_000.0) + 1_000.0 / rate;
        let mut bytes = vec![0; 1 + (random_unit(chance) * MOST as f64) as usize];
        chance.fill_bytes(&mut bytes);
        let routers = plan.script.routers as f64;
        tell((random_unit(chance) * routers) as usize, (random_unit(chance) * routers) as usize, bytes);
    }
}

/// The next datagram: the pair of ends that it was told to, and its bytes.
fn take(socket: i32) -> Option<(usize, usize, Vec<u8>)> {
    let mut buf = [0u8; 2 * MOST];
    let mut into = [IoSliceMut::new(&mut buf)];
    let mut space = nix::cmsg_space!(nix::libc::in_pktinfo);
    let got = recvmsg::<SockaddrIn>(socket, &mut into, Some(&mut space), MsgFlags::MSG_DONTWAIT).ok()?;
    let length = got.bytes;
    let meant = got.cmsgs().ok()?.find_map(|c| match c {
        ControlMessageOwned::Ipv4PacketInfo(info) => Some(Ipv4Addr::from(u32::from_be(info.ipi_addr.s_addr))),
        _ => None,
    })?;
    let (from, to) = peer_ends(&meant);
    Some((from, to, buf[..length].to_vec()))
}

fn pass(socket: i32, from: Ipv4Addr, to: std::net::SocketAddrV4, bytes: &[u8]) {
    let source = nix::libc::in_addr { s_addr: u32::from(from).to_be() };
    let info = nix::libc::in_pktinfo { ipi_ifindex: 0, ipi_spec_dst: source, ipi_addr: source };
    let parts = [IoSlice::new(bytes)];
    let control = [ControlMessage::Ipv4PacketInfo(&info)];
    // A receiver that is down takes nothing: lost, as on any network.
    let _ = sendmsg(socket, &parts, &control, MsgFlags::MSG_DONTWAIT, Some(&SockaddrIn::from(to)));
}
