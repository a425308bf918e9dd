use super::*;
use crate::host_loop;
use crate::send::Work;
use crate::shared::test_shared;

fn job() -> Job {
    Job { work: Work::Probe, until: 0.0, begin_by: 0.0 }
}

fn pool() -> Pool {
    let shared = test_shared();
    let (_, orders) = host_loop::new(&shared, crossbeam_channel::unbounded().0).unwrap();
    Pool::new(shared, orders)
}

/// Each host that ever came once left its name and its number behind.
#[test]
fn hosts_that_come_and_go_for_ever_take_no_more_room() {
    let mut pool = pool();
    let addr = "127.0.0.1:1".parse().unwrap();
    let stays = pool.host("stays", addr);
    for round in 0..100 {
        let host = pool.host(&format!("h-{round}"), addr);
        // Not while a connection of it is out for something.
        let out = pool.start(host, Task::Probe { since: 0.0 }, job()).unwrap();
        pool.tidy(|other| other != stays);
        assert_eq!(pool.host(&format!("h-{round}"), addr), host);
        assert_eq!(pool.finish(out, true).unwrap().0, host);
        pool.tidy(|other| other != stays);
    }
    assert_eq!((pool.hosts(), pool.slots.len(), pool.connections()), (1, 2, 0));
    assert_eq!(pool.host("stays", addr), stays);
}

/// What a host sends late would else answer the next op.
#[test]
fn a_connection_that_rested_is_taken_before_others() {
    let mut pool = pool();
    let host = pool.host("h", "127.0.0.1:1".parse().unwrap());
    let start = |pool: &mut Pool| pool.start(host, Task::Probe { since: 0.0 }, job()).unwrap();
    let nos: Vec<u64> = (0..3).map(|_| start(&mut pool)).collect();
    nos.iter().for_each(|no| assert!(pool.finish(*no, true).is_some()));
    for (no, ago) in nos.iter().zip([9e3, 8e3, 0.0]) {
        pool.conns.get_mut(no).unwrap().idle_since -= ago;
    }
    pool.conns.get_mut(&nos[2]).unwrap().idle_since += 1e6;
    let order = [0; 3].map(|_| pool.idle(host).unwrap());
    assert_eq!(order, [nos[1], nos[0], nos[2]]);
}
