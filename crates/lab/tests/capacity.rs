//! The capacity measurement at small, fixed sizes: real router processes with a few dozen stand-in hosts.
//! Checks that the tables are complete and consistent; no duration is judged.

use magpiewell_lab::capacity::databases::Outage;
use magpiewell_lab::capacity::hosts::{self, Case, HostsRow, Phase, Schedule};
use magpiewell_lab::capacity::measure::{SamplingWindows, Summary};
use magpiewell_lab::capacity::outage::{self, Moment};
use magpiewell_lab::capacity::slope::{NoSlope, Point, fit};
use magpiewell_lab::capacity::table::{Row, growth, markdown_table};
use magpiewell_lab::capacity::{clients, configuration, list, restart, setup, statements};
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

/// The lab's build of the router: the same code, built along with these tests.
const ROUTER: &str = env!("CARGO_BIN_EXE_magpiewell-staged");
const SEED: u64 = 7;
const WINDOWS: SamplingWindows = SamplingWindows { count: 2, seconds: 0.3 };
const SCHEDULE: Schedule = Schedule { warm_up: Duration::from_millis(800), quiet: WINDOWS, reads: WINDOWS };

fn router() -> &'static Path {
    Path::new(ROUTER)
}

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
}

#[test]
fn fit_is_the_least_squares_line() {
    let straight = fit(&points(&[(0.0, 1.0), (10.0, 21.0), (100.0, 201.0)])).unwrap();
    assert!((straight.per_unit - 2.0).abs() < 1e-9 && (straight.value_at_zero - 1.0).abs() < 1e-9);
    assert!(straight.max_relative_residual < 1e-9 && (straight.value_at(50.0) - 101.0).abs() < 1e-9);
    // By hand: the means are 2 and 3, the sums of products and of squares 4 and 2, so the slope is 2; the
    // largest residual is 2 and the largest value 5.
    let bent = fit(&points(&[(1.0, 1.0), (2.0, 3.0), (3.0, 5.0), (2.0, 5.0), (2.0, 1.0)])).unwrap();
    assert!((bent.per_unit - 2.0).abs() < 1e-9 && (bent.value_at_zero + 1.0).abs() < 1e-9);
    assert!((bent.max_relative_residual - 0.4).abs() < 1e-9, "{bent:?}");
    assert_eq!(fit(&points(&[(1.0, 0.0), (2.0, 0.0)])).unwrap().max_relative_residual, 0.0);
}

#[test]
fn fit_fails_for_one_size_or_non_finite_points() {
    assert_eq!(fit(&[]), Err(NoSlope::OneSize));
    assert_eq!(fit(&points(&[(3.0, 1.0), (3.0, 2.0)])), Err(NoSlope::OneSize));
    assert_eq!(fit(&points(&[(1.0, f64::NAN), (2.0, 2.0)])), Err(NoSlope::NotFinite));
    assert_eq!(fit(&points(&[(1.0, 1.0), (f64::INFINITY, 2.0)])), Err(NoSlope::NotFinite));
}

#[test]
fn summary_has_mean_min_and_max() {
    assert_eq!(Summary::of(&[3.0, 1.0, 2.0]), Summary { mean: 2.0, min: 1.0, max: 3.0 });
    assert_eq!(Summary::of(&[]), Summary::default());
}

#[test]
fn every_host_address_maps_back_to_its_host() {
    for host in 0..70_000 {
        let address = setup::host_address(host, 1);
        assert!(address.ip().is_loopback());
        assert_eq!(setup::host_of(*address.ip()), Some(host));
    }
    assert_eq!(setup::host_of(Ipv4Addr::new(127, 0, 0, 1)), None);
    assert_eq!(setup::host_of(Ipv4Addr::new(127, 80, 0, 0)), None);
    assert_eq!((setup::group_count(12), setup::group_count(0)), (3, 1));
}

fn assert_complete<R: Row>(rows: &[R]) {
    for row in rows {
        assert_eq!(row.cells().len(), R::COLUMNS.len());
        assert!(
            row.cells().iter().all(|cell| !cell.is_empty() && !cell.contains("NaN")),
            "{:?}",
            row.cells()
        );
    }
    assert_eq!(markdown_table(rows).lines().count(), rows.len() + 2);
}

#[test]
fn hosts_table_is_complete_and_consistent() {
    let sizes = [10, 20, 40];
    let measured = sizes
        .map(|size| hosts::measure(router(), Case::with_ample_limits(size, 200.0), SCHEDULE, SEED).unwrap());
    let rows: Vec<HostsRow> = measured.into_iter().flatten().collect();
    assert_complete(&rows);
    assert_eq!(rows.len(), 3 * sizes.len());
    for row in &rows {
        let (sample, outcomes, hosts) = (&row.sample, row.outcomes, row.case.hosts);
        assert!(sample.memory_mb > 0.5 && sample.threads > 1 && row.list_bytes > 50 * hosts);
        assert!(sample.core_percent.min <= sample.core_percent.mean);
        assert!(sample.core_percent.mean <= sample.core_percent.max);
        match row.phase {
            Phase::Quiet => {
                assert!(sample.connections == 0 && sample.reads_per_second == 0.0 && outcomes.acked == 0)
            }
            Phase::Reads => {
                assert!(outcomes.acked > 0 && outcomes.errored == 0, "{outcomes:?}");
                assert!(
                    sample.reads_per_second > 0.0
                        && sample.bytes_to_hosts_per_second > 50.0 * sample.reads_per_second
                );
                // Four clients with one read outstanding each: a host needs at most four connections, and one
                // for a probe.
                assert!(sample.connections > 0 && sample.connections <= 5 * hosts as u64, "{sample:?}");
            }
            Phase::Rest => assert!(sample.reads_per_second == 0.0 && sample.connections > 0),
        }
    }
    let bytes = |row: &HostsRow| row.list_bytes as f64;
    let line = growth("list", "bytes", &rows, 7_000.0, |row| row.case.hosts as f64, bytes);
    assert!(line.contains("for each"), "{line}");
}

#[test]
fn idle_clients_stay_connected_and_are_counted() {
    let rows = [0, 40].map(|count| clients::measure(router(), count, WINDOWS).unwrap());
    assert_complete(&rows);
    assert!(rows.iter().all(|row| row.closed == 0 && row.memory_mb > 0.5 && row.threads > 1));
    assert_eq!(rows[0].threads, rows[1].threads, "an idle client must not take a thread");
    assert!(rows[0].open_processor_ms == 0.0 && rows[1].open_processor_ms > 0.0);
}

#[test]
fn statements_reach_hosts_and_take_processor_time() {
    let rows = [50.0, 100.0].map(|rate| statements::measure(router(), 2, rate, WINDOWS, SEED).unwrap());
    assert_complete(&rows);
    for row in &rows {
        assert!(row.outcomes.acked > 0 && row.outcomes.errored == 0, "{:?}", row.outcomes);
        assert!(row.sample.reads_per_second > 0.0 && row.statement_processor_ms() > 0.0);
    }
}

#[test]
fn full_list_is_accepted_changes_are_small_and_an_oversized_list_is_rejected() {
    let rows = [20, 60].map(|hosts| list::measure(router(), hosts, 192, 5, WINDOWS).unwrap());
    assert_complete(&rows);
    for row in &rows {
        assert!(row.ready_ms > 0.0 && row.ready_processor_ms > 0.0);
        assert!(row.change_bytes > 100.0 && row.change_bytes < row.list_bytes as f64 / 2.0);
        assert!(row.change_ms.min > 0.0);
    }
    assert!(rows[1].list_bytes > 2 * rows[0].list_bytes);
    // The limit is a sixteenth of 32 MB, 2 MB; a list of 20,000 hosts is longer.
    let rejection_reason = list::rejection_reason(router(), 20_000, 32).unwrap();
    assert!(rejection_reason.contains("longer than 2097152 bytes"), "{rejection_reason}");
}

#[test]
fn starts_and_reloads_are_measured() {
    let starts = [20, 60].map(|hosts| restart::measure(router(), hosts, 2).unwrap());
    assert_complete(&starts);
    assert!(starts.iter().all(|row| row.ready_ms.min > 0.0 && row.processor_ms.min > 0.0));
    assert!(starts[1].file_bytes > starts[0].file_bytes);
    let reloads = [20, 60].map(|hosts| configuration::measure(router(), hosts, 3).unwrap());
    assert_complete(&reloads);
    assert!(
        reloads.iter().all(|row| row.in_effect_ms.min > 0.0 && row.reloads == 3 && row.processor_ms >= 0.0)
    );
}

#[test]
fn failed_zone_answers_no_reads_and_clients_are_served_meanwhile() {
    for outage in [Outage::Lost, Outage::Silent] {
        let case = outage::Case { hosts: 30, reads_per_second: 200.0, clients: 100, outage, zones: 1 };
        let rows = outage::measure(router(), case, SCHEDULE.warm_up, WINDOWS, SEED).unwrap();
        assert_complete(&rows);
        let [before, begins, lasts, back] = &rows[..] else { panic!("{} rows", rows.len()) };
        assert_eq!(
            (before.moment, begins.moment, lasts.moment, back.moment),
            (Moment::Before, Moment::Begins, Moment::Lasts, Moment::Back)
        );
        assert!(
            rows.iter().all(|row| row.outcomes.acked > 0 && row.sample.reads_per_second > 0.0),
            "{outage:?}"
        );
        let expects_resets = outage == Outage::Lost;
        let resets_per_second = begins.sample.reset_per_second + lasts.sample.reset_per_second;
        assert_eq!(
            resets_per_second > 0.0,
            expects_resets,
            "{outage:?}: {:?} {:?}",
            begins.sample,
            lasts.sample
        );
        assert_eq!((before.sample.reset_per_second, back.sample.reset_per_second), (0.0, 0.0), "{outage:?}");
        assert!(
            rows.iter().all(|row| row.sample.reads_in_outage_per_second == 0.0),
            "{outage:?}: a failed host answered"
        );
    }
}
