//! Scenarios: the events of a run, and the figures measured during it.

use crate::fleet::{Fleet, Plan, Traffic};
use crate::measure::{self, PrimaryChange};
use crate::random;
use magpiewell_members::RosterError;
use magpiewell_tier::Limits;

/// The events of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// No event.
    Quiet,
    /// A zone is lost while one group per 24 routers changes its primary; the zone's routers are restarted
    /// later.
    ZoneLost,
    /// The network is partitioned for a while, with half of the zones on each side.
    Parted,
    /// No router is lost, but a few at a time are paused for some seconds; played with loss of datagrams.
    Disturbed,
    /// A rolling restart of all routers, a few each second.
    Restarted,
    /// 1,100 of 4,800 routers, or the same share of another fleet, are lost within ten seconds and replaced
    /// later.
    Replaced,
    /// The forty routers of one rack are lost at the same time.
    RackLost,
}

/// Faults that are present during the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of routers whose clocks are wrong, by up to an hour in either direction.
    pub wrong_clocks: f64,
}

/// A figure measured at a point in time after the event began.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    pub seconds: f64,
    pub kind: FigureKind,
    pub value: f64,
}

/// The measured quantities; shares of pairs unless noted otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FigureKind {
    /// Pairs of a live observer and a lost member in which the member isn't counted.
    LostNotCounted,
    /// Pairs of a live observer and a live member in which the member isn't counted.
    LiveNotCounted,
    /// Pairs of a live observer and a changed group in which the new primary is known.
    PrimariesKnown,
    /// Bytes sent per second and live router since the previous measurement, including IPv4 and UDP headers.
    BytesPerSecond,
    /// Pairs of a live observer and a zone that it believes silent in which the zone is reported as cut off,
    /// rather than as lost or cut off.
    SaidCutOff,
    /// Pairs of an observer and a member whose zone the observer knows.
    ZonesKnown,
}

/// One group per this many routers changes its primary when a zone is lost.
const ROUTERS_PER_PRIMARY_CHANGE: usize = 24;
/// Virtual time before the event, long enough for all routers to learn the zones of all members.
const SETTLE_MS: f64 = 60_000.0;
const SECOND_MS: f64 = 1_000.0;
/// Length of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;
/// Share of the fleet that is replaced: 1,100 routers of the target size of 4,800.
const REPLACED_SHARE: f64 = 1_100.0 / 4_800.0;
/// Number of routers in a rack.
const RACK_ROUTERS: usize = 40;

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub figures: Vec<Figure>,
    /// Virtual time that passed in the whole run.
    pub virtual_seconds: f64,
}

impl Outcome {
    /// The figure of this kind at this time, if it was measured.
    pub fn value_at(&self, kind: FigureKind, seconds: f64) -> Option<f64> {
        let figure = self.figures.iter().find(|f| f.kind == kind && f.seconds == seconds);
        figure.map(|f| f.value)
    }

    /// The highest figure of this kind.
    pub fn max_value(&self, kind: FigureKind) -> f64 {
        let of_kind = self.figures.iter().filter(|f| f.kind == kind);
        of_kind.map(|f| f.value).fold(0.0, f64::max)
    }
}

/// A run in progress: the fleet and its true state.
struct Run {
    fleet: Fleet,
    outcome: Outcome,
    /// Routers that are currently lost.
    lost: Vec<usize>,
    /// Routers that are currently paused: neither their beliefs nor the beliefs about them are measured.
    paused: Vec<usize>,
    changes: Vec<PrimaryChange>,
    event_at: f64,
    /// Nothing is measured later than this many seconds after the event.
    until_seconds: f64,
    traffic: Traffic,
    traffic_at: f64,
}

/// Plays a scenario to its end, or until `until_seconds` after the event.
pub fn play(
    plan: Plan,
    scenario: Scenario,
    faults: Faults,
    until_seconds: f64,
) -> Result<Outcome, RosterError> {
    let mut run = Run::start(plan, faults)?;
    run.until_seconds = until_seconds;
    match scenario {
        Scenario::Quiet => run.sample_seconds(&[10.0, 20.0, 30.0]),
        Scenario::ZoneLost => run.zone_lost()?,
        Scenario::Parted => run.parted(),
        Scenario::Disturbed => run.disturbed(),
        Scenario::Restarted => run.restarted()?,
        Scenario::Replaced => run.replaced()?,
        Scenario::RackLost => run.rack_lost(),
    }
    run.outcome.virtual_seconds = run.fleet.elapsed_ms() / SECOND_MS;
    Ok(run.outcome)
}

impl Run {
    fn start(mut plan: Plan, faults: Faults) -> Result<Run, RosterError> {
        plan.links.loss = faults.loss;
        let mut fleet = Fleet::start(plan)?;
        set_clocks(&mut fleet, faults.wrong_clocks)?;
        fleet.run_ms(SETTLE_MS);
        let (event_at, traffic) = (fleet.now(), fleet.traffic());
        Ok(Run {
            fleet,
            outcome: Outcome::default(),
            lost: Vec::new(),
            paused: Vec::new(),
            changes: Vec::new(),
            event_at,
            until_seconds: f64::INFINITY,
            traffic,
            traffic_at: event_at,
        })
    }

    /// Runs to each of these times after the event, in seconds, and measures all figures there.
    fn sample_seconds(&mut self, times: &[f64]) {
        let last = self.until_seconds;
        for seconds in times.iter().filter(|seconds| **seconds <= last) {
            let sample_at = self.event_at + seconds * SECOND_MS;
            self.fleet.run_ms(sample_at - self.fleet.now());
            self.measure(*seconds);
        }
    }

    fn measure(&mut self, seconds: f64) {
        let fleet = &self.fleet;
        let observers = measure::observers(fleet, |number| self.paused.contains(&number));
        let live: Vec<usize> = (0..fleet.plan().routers)
            .filter(|number| fleet.is_running(*number) && !self.paused.contains(number))
            .collect();
        let mut figures = Vec::new();
        if !self.lost.is_empty() {
            let share = measure::share_not_counted(fleet, &observers, &self.lost);
            figures.push((FigureKind::LostNotCounted, share));
        }
        figures.push((FigureKind::LiveNotCounted, measure::share_not_counted(fleet, &observers, &live)));
        figures.push((FigureKind::ZonesKnown, measure::share_of_zones_known(fleet, &observers)));
        figures.push((FigureKind::SaidCutOff, measure::share_reported_cut_off(fleet, &observers)));
        if !self.changes.is_empty() {
            let share = measure::share_knowing_primary(fleet, &observers, &self.changes);
            figures.push((FigureKind::PrimariesKnown, share));
        }
        let (traffic, now) = (fleet.traffic(), fleet.now());
        let datagrams = (traffic.datagrams - self.traffic.datagrams) as f64;
        let bytes = (traffic.bytes - self.traffic.bytes) as f64 + datagrams * HEADER_BYTES;
        let rate = bytes / live.len().max(1) as f64 / ((now - self.traffic_at) / SECOND_MS);
        figures.push((FigureKind::BytesPerSecond, rate));
        (self.traffic, self.traffic_at) = (traffic, now);
        let figures = figures.into_iter().map(|(kind, value)| Figure { seconds, kind, value });
        self.outcome.figures.extend(figures);
    }

    fn begin_event(&mut self) {
        self.event_at = self.fleet.now();
        (self.traffic, self.traffic_at) = (self.fleet.traffic(), self.event_at);
    }

    fn lose(&mut self, numbers: Vec<usize>) {
        numbers.iter().for_each(|number| self.fleet.kill(*number));
        self.lost.extend(numbers);
    }

    fn restart_lost(&mut self) -> Result<(), RosterError> {
        std::mem::take(&mut self.lost).into_iter().try_for_each(|number| self.fleet.start_router(number))
    }

    fn change_primaries(&mut self) {
        let count = (self.fleet.plan().routers / ROUTERS_PER_PRIMARY_CHANGE).max(1);
        self.changes = measure::change_primaries(&mut self.fleet, count, 1);
    }

    fn zone_lost(&mut self) -> Result<(), RosterError> {
        self.begin_event();
        let zone = self.fleet.plan().zones - 1;
        let members = (0..self.fleet.plan().routers).filter(|n| self.fleet.zone_of(*n) == zone).collect();
        self.lose(members);
        self.change_primaries();
        self.sample_seconds(&[2.0, 5.0, 7.0, 9.0, 10.0, 15.0, 30.0, 45.0]);
        self.changes.clear();
        self.restart_lost()?;
        self.sample_seconds(&[50.0, 54.0, 60.0, 75.0, 90.0]);
        Ok(())
    }

    fn parted(&mut self) {
        self.begin_event();
        let zones = self.fleet.plan().zones;
        self.fleet.network().partition(|number| u8::from(number % zones >= zones / 2));
        self.sample_seconds(&[5.0, 9.0, 15.0, 30.0, 60.0]);
        self.fleet.network().heal();
        self.sample_seconds(&[65.0, 70.0, 90.0, 120.0]);
    }

    fn disturbed(&mut self) {
        /// Share of the fleet that is paused at a time.
        const PAUSED_SHARE: f64 = 0.02;
        /// Length of each pause, and of the time between two pauses.
        const PAUSE_SECONDS: f64 = 10.0;
        const ROUNDS: usize = 6;
        self.begin_event();
        let routers = self.fleet.plan().routers;
        let count = ((routers as f64 * PAUSED_SHARE) as usize).max(1);
        for round in 0..ROUNDS {
            self.paused = (0..count).map(|n| (round * count + n) % routers).collect();
            self.paused.iter().for_each(|number| self.fleet.set_paused(*number, true));
            self.sample_seconds(&[(2 * round + 1) as f64 * PAUSE_SECONDS]);
            self.paused.iter().for_each(|number| self.fleet.set_paused(*number, false));
            self.paused.clear();
            // The resumed routers need some time to refute that they are dead.
            self.sample_seconds(&[(2 * round + 2) as f64 * PAUSE_SECONDS]);
        }
    }

    fn restarted(&mut self) -> Result<(), RosterError> {
        /// Duration of the whole rolling restart. Each router is down for one second of it.
        const SECONDS: usize = 60;
        self.begin_event();
        let routers = self.fleet.plan().routers;
        let per_second = routers.div_ceil(SECONDS);
        for second in 0..=SECONDS {
            self.restart_lost()?;
            let next = (second * per_second..((second + 1) * per_second).min(routers)).collect();
            if second < SECONDS {
                self.lose(next);
            }
            self.sample_seconds(&[(second + 1) as f64]);
        }
        self.sample_seconds(&[70.0, 80.0, 100.0, 120.0]);
        Ok(())
    }

    fn replaced(&mut self) -> Result<(), RosterError> {
        /// Duration over which the routers are lost.
        const SECONDS: usize = 10;
        self.begin_event();
        let (routers, seed) = (self.fleet.plan().routers, self.fleet.plan().seed);
        let count = (routers as f64 * REPLACED_SHARE) as usize;
        let mut order: Vec<usize> = (0..routers).collect();
        order.sort_by_key(|number| random::number(seed, &[*number as u64, 7]));
        let per_second = count.div_ceil(SECONDS);
        for (second, batch) in order[..count].chunks(per_second.max(1)).enumerate() {
            self.lose(batch.to_vec());
            self.sample_seconds(&[(second + 1) as f64]);
        }
        self.sample_seconds(&[15.0, 20.0, 30.0, 45.0, 60.0, 90.0]);
        self.restart_lost()?;
        self.sample_seconds(&[95.0, 100.0, 120.0, 150.0]);
        Ok(())
    }

    fn rack_lost(&mut self) {
        self.begin_event();
        self.lose((0..RACK_ROUTERS.min(self.fleet.plan().routers / 2)).collect());
        self.sample_seconds(&[5.0, 9.0, 15.0, 20.0, 30.0, 60.0, 90.0]);
    }
}

/// Gives this share of the routers wrong clocks, and restarts them.
fn set_clocks(fleet: &mut Fleet, share: f64) -> Result<(), RosterError> {
    const HOUR_MS: f64 = 3_600_000.0;
    let seed = fleet.plan().seed;
    for number in 0..fleet.plan().routers {
        if random::unit(seed, &[number as u64, 3]) < share {
            let offset_ms = (random::unit(seed, &[number as u64, 4]) - 0.5) * 2.0 * HOUR_MS;
            fleet.set_clock_offset(number, offset_ms);
            fleet.start_router(number)?;
        }
    }
    Ok(())
}

/// A plan with default limits.
pub fn plan(routers: usize, seed: u64, threads: usize, zone_evidence: bool) -> Plan {
    const ZONES: usize = 6;
    let links = crate::network::Links::default();
    let limits = Limits { zone_evidence, pull_facts: zone_evidence, ..Limits::default() };
    Plan { routers, zones: ZONES, seed, links, limits, threads }
}
