//! Case 9: discovery at the address of a new configuration is slow, and database hosts are replaced.

#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the new address of discovery takes for each answer.
const SLOW_MS: u64 = 1_200;
/// A change counts as told this long after discovery had it and could be reached, at the latest (and 4 s after
/// SIGHUP, which is earlier here), whether it arrived or not.
const TOLD: Duration = Duration::from_millis(6_000);
/// The drain grace of the site, with the 50 ms by which every time limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// One host after another is replaced. It drains for this long, and then ends; the last one stays up.
const STEP: Duration = Duration::from_secs(2);
/// How long the clients go on after the last grace.
const AFTER: Duration = Duration::from_secs(10);
const CLIENTS: usize = 6;

fn config(addr: std::net::SocketAddr, discovery: std::net::SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{addr}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"areas":["sandy-bay","cambridge","glenorchy"],"az":0,"balancers":1,
        "charges":{{"cross_zone":0.04,"handshake":0.0,"probe":0.0083}},
        "classes":[
          {{"deadline_s":1.2,"effect":"free","goal_time_s":0.3,"group":"all","late_worth":0.0,"name":"status-read","value":2.0,"window_s":5.0}},
          {{"deadline_s":2.0,"effect":"guarded","goal_time_s":0.6,"group":"cell","late_worth":0.3,"name":"record-write","value":6.0,"window_s":1.2}}],
        "clients":{{"marks_retry":true}},"discovery":"automatic",
        "extra":{{"behind":"refuse","read_level":["bounded","write"],"staleness_bound_s":[1.5,0.0],"write_marks":"remembered"}},
        "limits":{{"conn_idle_s":30.0,"dial_timeout_s":0.25,"max_attempts":8,"max_retry_after_s":2.0,"may_cancel":true,
          "may_tell":false,"probes":true,"retry_after":true,"second_copies":false}},
        "over_share_worth":0.1,"report":{{"fields":["x0","x1"],"via":"inline"}},
        "rules":{{"answer_slack_s":0.02,"ask_every_s":10.0,"cold_from":0.22,"cold_s":16.0,"drain_grace_s":0.5,"fall_multiple":2.5,"fall_s":2.0}},
        "tenants":[{{"name":"health-apps","quota_rps":400.0}}],"tick_s":0.005}}}}"#
    )
}

fn status(role: &str) -> Vec<u8> {
    let now = unix_ms();
    let report = format!("x0={:.3},x1={}", now / 1000.0, u8::from(role == "writer"));
    [parameter("server_role", role), parameter("commit_clock", &format!("{}", now as u64)), parameter("usage", &report)]
        .concat()
}

/// What a host does: it is ready, then drains, then has ended.
#[derive(Clone, Default)]
struct Stage {
    drains: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    /// Ops that arrived: (time, id).
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
}

fn host(id: String, role: &'static str, stage: Stage, record: Record) -> Host {
    start_host(
        &id.clone(),
        Arc::new(move |to, connection, text| {
            if stage.has_ended.load(SeqCst) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let op = fact(text, "id").to_string();
            if text.starts_with("SHOW") || text == "SELECT 1" {
                let report = format!("x0={:.3},x1={}", unix_ms() / 1000.0, u8::from(role == "writer"));
                return to.write_all(&[row(&report, "SHOW"), status(role), ready()].concat());
            }
            stage.arrivals.lock().unwrap().push((Instant::now(), op.clone()));
            record.add(format!("{id}/{connection}: {op} arrives"));
            if stage.drains.load(SeqCst) {
                // It completes what it holds and accepts nothing new.
                return to.write_all(&[error("53300", "draining"), status(role), ready()].concat());
            }
            thread::sleep(Duration::from_millis(25));
            to.write_all(&[row(&format!("of-{op}"), "SELECT 1"), status(role), ready()].concat())
        }),
    )
}

fn main() {
    limit_time(110);
    let record = Record::new();
    let code = match play(&record) {
        Ok(code) => code,
        Err(why) => {
            record.write(&format!("could not run: {why}\n"));
            COULD_NOT_RUN
        }
    };
    std::process::exit(code);
}

fn play(record: &Record) -> Result<i32, String> {
    // Three hosts, and the three that replace them.
    let roles = ["writer", "reader", "reader", "writer", "reader", "reader"];
    let stages = roles.map(|_| Stage::default());
    let hosts: Vec<Host> =
        (0..6).map(|i| host(format!("s-{i}"), roles[i], stages[i].clone(), record.clone())).collect();
    let entries = hosts[..3].iter().map(|h| Entry::new(h, "sandy-bay", 1)).collect();
    let discovery = Discovery::new(record, 41, entries);
    let (old, new) = (Door::default(), Door::default());
    let (old_addr, new_addr) = (discovery.serve("old", old.clone()), discovery.serve("new", new.clone()));
    new.delay_ms.store(if trouble() { SLOW_MS } else { 0 }, SeqCst);
    let mut router = Router::start(|addr| config(addr, old_addr, &discovery.known()))?;
    router.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let (served, served_late) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let is_late = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, record, addr) = (stop.clone(), record.clone(), router.addr);
            let (served, served_late, is_late) = (served.clone(), served_late.clone(), is_late.clone());
            thread::spawn(move || {
                let Ok(mut client) = Client::open(addr) else { return };
                for i in 0.. {
                    if stop.load(SeqCst) {
                        return;
                    }
                    let id = format!("c{n}-{i:05}");
                    let facts = format!("id={id},c=status-read,t=health-apps,d=1000,cluster=1");
                    let answer = client.ask(&read_statement(&id, &facts), Duration::from_secs(4));
                    record.add(format!("client: {id} answered {answer:?}"));
                    match answer {
                        Answer::Served(_) => {
                            served.fetch_add(1, SeqCst);
                            served_late.fetch_add(u64::from(is_late.load(SeqCst)), SeqCst);
                        }
                        Answer::None(_) => match Client::open(addr) {
                            Ok(new) => client = new,
                            Err(_) => return,
                        },
                        _ => {}
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // A new configuration names another address; the old one takes no new connection and closes the open ones
    // after 1.5 s.
    router.write_config(&config(router.addr, new_addr, &discovery.known()));
    record.add(format!("SIGHUP; discovery moves, and takes {} ms an answer there", new.delay_ms.load(SeqCst)));
    router.signal(SIGHUP);
    thread::sleep(Duration::from_millis(1_500));
    old.is_closed.store(true, SeqCst);
    thread::sleep(Duration::from_millis(3_500));
    // One host after another is replaced by a new one with a new id.
    let mut drained_at = Vec::new();
    for i in [2, 0, 1] {
        discovery.add(Entry { started_ms: unix_ms() as u64, ..Entry::new(&hosts[i + 3], "sandy-bay", 1) });
        discovery.set(&hosts[i].id, "Terminating");
        stages[i].drains.store(true, SeqCst);
        drained_at.push((i, Instant::now()));
        thread::sleep(STEP);
        if i == 1 {
            break;
        }
        discovery.set(&hosts[i].id, "Gone");
        stages[i].has_ended.store(true, SeqCst);
        record.add(format!("{} has ended", hosts[i].id));
    }
    thread::sleep(TOLD + GRACE);
    is_late.store(true, SeqCst);
    record.add("from here on all three new hosts count as told");
    thread::sleep(AFTER);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let ended = router.has_ended();
    router.record_log(record);
    let mut late = 0;
    for (i, drained_at) in drained_at {
        for (at, op) in stages[i].arrivals.lock().unwrap().iter().filter(|(at, _)| *at > drained_at + TOLD + GRACE) {
            let after = at.duration_since(drained_at).as_secs_f64();
            late += 1;
            record.add(format!("BROKEN: {op} was sent to s-{i} {after:.2} s after discovery listed it as draining"));
        }
    }
    if served.load(SeqCst) < 200 || ended.is_some() {
        return Err(format!("{} served, router ended: {ended:?}", served.load(SeqCst)));
    }
    record.write(&format!(
        "{}: {late} ops sent to draining hosts later than {} ms after the change counted as told\n\
         {} served in all; {} served in the last {} s, in which three ready hosts counted as told\n",
        if late > 0 { "BROKEN" } else { "held" },
        GRACE.as_millis(),
        served.load(SeqCst),
        served_late.load(SeqCst),
        AFTER.as_secs(),
    ));
    Ok(if late > 0 { BROKEN } else { HELD })
}
