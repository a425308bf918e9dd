use super::*;
use crate::host_loop;
use crate::send::Work;
use crate::shared::test_shared;

fn job() -> Job {
    Job { work: Work::Probe, deadline: 0.0, begin_by: 0.0 }
}

fn pool() -> Pool {
    let shared = test_shared();
    let (_, commands) = host_loop::new(&shared, crossbeam_channel::unbounded().0).unwrap();
    Pool::new(shared, commands)
}

/// Guards against hosts that leave their ids and indices behind when they are removed.
#[test]
fn hosts_that_come_and_go_take_no_additional_space() {
    let mut pool = pool();
    let addr = "127.0.0.1:1".parse().unwrap();
    let kept = pool.upsert_host("stays", addr);
    for round in 0..100 {
        let host = pool.upsert_host(&format!("h-{round}"), addr);
        // A host is not removed while one of its connections is in use.
        let conn_id = pool.start_job(host, Task::Probe { started_at: 0.0 }, job()).unwrap();
        pool.remove_gone_hosts(|other| other != kept);
        assert_eq!(pool.upsert_host(&format!("h-{round}"), addr), host);
        assert_eq!(pool.finish_job(conn_id, true).unwrap().0, host);
        pool.remove_gone_hosts(|other| other != kept);
    }
    assert_eq!((pool.host_count(), pool.slots.len(), pool.connection_count()), (1, 2, 0));
    assert_eq!(pool.upsert_host("stays", addr), kept);
}

/// Guards against bytes that a host sends late being taken for the answer to the next op.
#[test]
fn a_connection_idle_for_rest_ms_is_taken_before_others() {
    let mut pool = pool();
    let host = pool.upsert_host("h", "127.0.0.1:1".parse().unwrap());
    let start = |pool: &mut Pool| pool.start_job(host, Task::Probe { started_at: 0.0 }, job()).unwrap();
    let ids: Vec<u64> = (0..3).map(|_| start(&mut pool)).collect();
    ids.iter().for_each(|id| assert!(pool.finish_job(*id, true).is_some()));
    for (id, ago) in ids.iter().zip([9e3, 8e3, 0.0]) {
        pool.connections.get_mut(id).unwrap().idle_since -= ago;
    }
    pool.connections.get_mut(&ids[2]).unwrap().idle_since += 1e6;
    let order = [0; 3].map(|_| pool.take_idle(host).unwrap());
    assert_eq!(order, [ids[1], ids[0], ids[2]]);
}
