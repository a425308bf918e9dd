//! Measures a router's cost and its clients' outcomes while the hosts of some zones are lost or silent, and
//! after they are back. The router is not informed of the outage: the list continues to show these hosts as
//! ready.

use super::databases::{Databases, Outage};
use super::list_service::ListService;
use super::load::{Load, LoadParameters, OutcomeCounts};
use super::measure::{self, Sample, SamplingWindows};
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::process::Process;
use std::path::Path;
use std::time::Duration;

const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// When a row was measured, relative to the outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    Before,
    /// The first windows of the outage.
    Begins,
    /// The windows after those.
    Lasts,
    /// After the outage.
    Back,
}

/// Parameters of one measurement: the hosts, the load and the outage.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub hosts: usize,
    pub reads_per_second: f64,
    pub outage: Outage,
    pub clients: usize,
    /// Number of zones that fail, counted from the first.
    pub zones: usize,
}

/// One row: the sample of one moment.
pub struct OutageRow {
    pub case: Case,
    pub moment: Moment,
    pub sample: Sample,
    /// Outcomes within the windows of the sample.
    pub outcomes: OutcomeCounts,
}

impl Row for OutageRow {
    const COLUMNS: &'static [&'static str] = &[
        "hosts",
        "zones failed",
        "moment",
        "of a core, % (least to most)",
        "memory, MB",
        "connections",
        "opened a second",
        "refused by hosts a second",
        "probes that reached hosts a second",
        "reads at hosts a second",
        "acked / refused / errored / unanswered",
    ];

    fn cells(&self) -> Vec<String> {
        let (sample, outcomes) = (&self.sample, &self.outcomes);
        vec![
            self.case.hosts.to_string(),
            format!("{} {:?}", self.case.zones, self.case.outage),
            format!("{:?}", self.moment),
            sample.core_percent.cell(2),
            format!("{:.1}", sample.memory_mb),
            sample.connections.to_string(),
            format!("{:.1}", sample.opened_per_second),
            format!("{:.1}", sample.reset_per_second),
            format!("{:.1}", sample.probes_per_second),
            format!("{:.1}", sample.reads_per_second),
            outcomes.cell(),
        ]
    }
}

/// Measures four rows: before the outage, as it begins, while it lasts, and when the zones are back.
pub fn measure(
    router: &Path,
    case: Case,
    warm_up: Duration,
    windows: SamplingWindows,
    seed: u64,
) -> Result<Vec<OutageRow>, String> {
    let databases = Databases::start()?;
    let list_service = ListService::start(case.hosts, databases.port)?;
    let known_list = setup::full_list(1, case.hosts, databases.port);
    let process = Process::start_with_configuration(
        router,
        &setup::configuration(&AMPLE_LIMITS, list_service.address, Some(&known_list)),
    )?;
    let ready = process.log().wait_for_line("ready with the list", 0, READY_TIMEOUT);
    ready.ok_or_else(|| format!("{} hosts: the router did not become ready", case.hosts))?;
    let (reads_per_second, groups) = (case.reads_per_second, setup::group_count(case.hosts));
    let parameters = LoadParameters { reads_per_second, groups, clients: case.clients, seed };
    let load = Load::start(process.addr, parameters)?;
    std::thread::sleep(warm_up);

    let zones: Vec<usize> = (0..case.zones.min(setup::ZONES)).collect();
    let moments = [
        (Moment::Before, None),
        (Moment::Begins, Some(case.outage)),
        (Moment::Lasts, Some(case.outage)),
        (Moment::Back, None),
    ];
    let mut rows = Vec::new();
    for (moment, outage) in moments {
        databases.set_outage(&zones, outage);
        let outcomes_before = load.outcomes();
        let is_served = || load.outcomes().since(outcomes_before).acked > 0;
        let sample = measure::take_sample_under_load(&process, &databases, windows, is_served);
        rows.push(OutageRow { case, moment, sample, outcomes: load.outcomes().since(outcomes_before) });
    }
    load.stop();
    Ok(rows)
}
