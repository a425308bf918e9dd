//! Computes the figures of a scale test from its events and compares them with their targets. No I/O.

use super::message::{Entry, Event, Phase, ProcessName};
use super::plan::Plan;
use super::real;
use super::recorder::{ObservedChange, View};
use std::collections::HashMap;
use std::fmt;

/// The targets: shares of pairs of routers or of a core, bytes per second, MB.
const MIN_LOST_MARKED_DEAD: f64 = 0.99;
const MAX_LIVE_MARKED_DEAD: f64 = 0.001;
const MIN_PRIMARIES_KNOWN: f64 = 0.99;
const MAX_BYTES_PER_SECOND: f64 = 2_000.0;
const MAX_CORE_SHARE: f64 = 0.04;
const MAX_REAL_MEMORY_MB: f64 = 32.0;
const MAX_MACHINE_MEMORY_SHARE: f64 = 0.5;
/// With more late ticks the machine was too busy for the other figures to be meaningful.
const MAX_LATE_TICK_SHARE: f64 = 0.001;
/// Within this time a lost zone has to be marked dead, and a new primary has to be known.
pub const DETECTION_LIMIT_S: u32 = 9;
/// Times after the loss of the zone, or after a change of primary, at which the shares are read.
const LOST_MARKED_DEAD_CHECKS_S: [u32; 3] = [DETECTION_LIMIT_S, 30, 90];
const PRIMARIES_KNOWN_CHECKS_S: [u32; 3] = [5, DETECTION_LIMIT_S, 10];
const REAL_LOST_UNCOUNTED_CHECKS_S: [u32; 2] = [30, 90];
/// Less than a minute: a router removes a primary one minute after it was observed.
const REAL_GROUPS_KNOWN_CHECK_S: u32 = 30;
/// Traffic and processor time are measured over this first part of a phase.
const MEASURED_MS: f64 = 30_000.0;
/// Phases in which routers that were never lost stay reachable for one another, except for less than a
/// suspicion timeout.
const CONNECTED_PHASES: [Phase; 5] =
    [Phase::Quiet, Phase::ZoneLost, Phase::ZoneBack, Phase::Stop, Phase::Loss];
/// Interval between the points of the curves.
const CURVE_STEP_MS: f64 = 500.0;

/// What a figure measures. A share of members is one of all pairs of a live hollow router and such a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    LostMarkedDead { after_s: u32 },
    LiveMarkedDead { phase: Phase },
    PrimariesKnown { after_s: u32 },
    HollowBytes { phase: Phase },
    MaxBytes { phase: Phase },
    RealBytes { phase: Phase },
    HollowProcessor { phase: Phase },
    RealProcessor { phase: Phase },
    HollowMemory,
    RealMemory,
    MachineMemory,
    RealLostUncounted { after_s: u32 },
    RealGroupsKnown { after_s: u32 },
    ReturnedCounted { phase: Phase },
    OtherSideMarkedDead,
    HealedMarkedDead,
    LateTicks,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Measure::LostMarkedDead { after_s } => {
                write!(f, "lost members marked dead {after_s} s after the loss, share")
            }
            Measure::LiveMarkedDead { phase } => {
                write!(f, "live members, never lost, marked dead, maximum, {phase:?}, share")
            }
            Measure::PrimariesKnown { after_s } => write!(f, "new primaries known after {after_s} s, share"),
            Measure::HollowBytes { phase } => write!(f, "bytes per second per hollow router, {phase:?}"),
            Measure::MaxBytes { phase } => {
                write!(f, "maximum bytes of one hollow router in a second, {phase:?}")
            }
            Measure::RealBytes { phase } => write!(f, "bytes per second per real router, {phase:?}"),
            Measure::HollowProcessor { phase } => write!(f, "share of a core per hollow router, {phase:?}"),
            Measure::RealProcessor { phase } => write!(f, "share of a core per real router, {phase:?}"),
            Measure::HollowMemory => write!(f, "MB per hollow router, its share of the process included"),
            Measure::RealMemory => write!(f, "MB of the largest real router"),
            Measure::MachineMemory => write!(f, "share of the machine's memory, all processes"),
            Measure::RealLostUncounted { after_s } => {
                write!(f, "lost members no longer counted by real routers after {after_s} s, share")
            }
            Measure::RealGroupsKnown { after_s } => {
                write!(f, "new primaries known to real routers after {after_s} s, share")
            }
            Measure::ReturnedCounted { phase } => {
                write!(f, "returned members counted at the end of {phase:?}, share")
            }
            Measure::OtherSideMarkedDead => {
                write!(f, "members on the other side marked dead at the end of Cut, share")
            }
            Measure::HealedMarkedDead => write!(f, "members marked dead at the end of Healed, share"),
            Measure::LateTicks => {
                write!(f, "ticks over 0.4 s late before Stop, share: the machine's load")
            }
        }
    }
}

/// The bound that a figure has to meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    AtLeast(f64),
    AtMost(f64),
}

/// A measured value, or none if there was nothing to measure, which misses every target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    pub measure: Measure,
    pub value: Option<f64>,
    pub target: Option<Target>,
}

impl Figure {
    pub fn is_missed(&self) -> bool {
        match (self.target, self.value) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(Target::AtLeast(min)), Some(value)) => value < min,
            (Some(Target::AtMost(max)), Some(value)) => value > max,
        }
    }
}

/// A point of the curves; a share is none if there are no pairs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub at: f64,
    pub lost_marked_dead: Option<f64>,
    /// The share of members that were never lost.
    pub live_marked_dead: Option<f64>,
    /// The share of members that were lost and are back.
    pub returned_marked_dead: Option<f64>,
    pub primaries_known: Option<f64>,
}

/// All figures of a test, and the curves of its shares.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub figures: Vec<Figure>,
    pub curve: Vec<Point>,
    /// The start time of each phase.
    pub phases: Vec<(Phase, f64)>,
}

impl Verdict {
    /// Whether the measure is among the figures and misses its target.
    pub fn misses(&self, measure: Measure) -> bool {
        self.figures.iter().any(|figure| figure.measure == measure && figure.is_missed())
    }

    /// All measures whose target is missed.
    pub fn missed_measures(&self) -> Vec<Measure> {
        self.figures.iter().filter(|figure| figure.is_missed()).map(|figure| figure.measure).collect()
    }

    /// Whether a control has failed, as it must: new primaries were not propagated in time, and lost and live
    /// members were not distinguished.
    pub fn control_fails(&self) -> bool {
        let lost_and_live_confused = self.misses(Measure::LostMarkedDead { after_s: DETECTION_LIMIT_S })
            || self.misses(Measure::LiveMarkedDead { phase: Phase::ZoneLost });
        self.misses(Measure::PrimariesKnown { after_s: DETECTION_LIMIT_S }) && lost_and_live_confused
    }

    /// Whether the loss of the zone was detected too late.
    pub fn misses_zone_loss(&self) -> bool {
        self.misses(Measure::LostMarkedDead { after_s: DETECTION_LIMIT_S })
    }
}

/// Computes the figures from the entries, which are in order of time.
pub fn judge(plan: &Plan, entries: &[Entry], machine_memory_mb: f64) -> Verdict {
    let events = Events::new(plan, entries);
    let mut figures = Vec::new();
    events.add_lost_marked_dead(&mut figures);
    events.add_primaries_known(&mut figures);
    events.add_real_routers(&mut figures);
    events.add_recovery(&mut figures);
    events.add_traffic(&mut figures);
    events.add_processor(&mut figures);
    events.add_memory(machine_memory_mb, &mut figures);
    events.add_late_ticks(&mut figures);
    let curve = events.curve();
    events.add_live_marked_dead(&curve, &mut figures);
    Verdict { figures, curve, phases: events.phases }
}

/// A period of time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Window {
    from: f64,
    until: f64,
}

/// A cumulative value at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reading {
    at: f64,
    value: f64,
}

/// The events of one test, as needed to compute its figures.
struct Events<'a> {
    plan: &'a Plan,
    entries: &'a [Entry],
    phases: Vec<(Phase, f64)>,
    lost_at: Option<f64>,
}

impl<'a> Events<'a> {
    fn new(plan: &'a Plan, entries: &'a [Entry]) -> Events<'a> {
        let phase = |entry: &Entry| match entry.event {
            Event::Phase(phase) => Some((phase, entry.at)),
            _ => None,
        };
        let lost = |entry: &Entry| matches!(entry.event, Event::ZoneLost { .. }).then_some(entry.at);
        let phases = entries.iter().filter_map(phase).collect();
        Events { plan, entries, phases, lost_at: entries.iter().find_map(lost) }
    }

    fn window(&self, phase: Phase) -> Option<Window> {
        let index = self.phases.iter().position(|(candidate, _)| *candidate == phase)?;
        let until = self.phases.get(index + 1).map_or(self.ends_at(), |(_, at)| *at);
        Some(Window { from: self.phases[index].1, until })
    }

    /// The part of the phase over which traffic and processor time are measured.
    fn measured(&self, phase: Phase) -> Option<Window> {
        let window = self.window(phase)?;
        Some(Window { until: window.until.min(window.from + MEASURED_MS), ..window })
    }

    fn ends_at(&self) -> f64 {
        self.entries.last().map_or(0.0, |entry| entry.at)
    }

    /// Calls `visit` with the view at each of these times, which are in order.
    fn visit_views(&self, times: &[f64], mut visit: impl FnMut(f64, &View)) {
        let (mut view, mut next) = (View::new(self.plan), 0);
        for time in times {
            while let Some(entry) = self.entries.get(next).filter(|entry| entry.at <= *time) {
                view.apply(entry);
                next += 1;
            }
            visit(*time, &view);
        }
    }

    /// The view at a point in time; none after the end of the test.
    fn view_at(&self, time: f64) -> Option<View> {
        let mut found = None;
        if time <= self.ends_at() {
            self.visit_views(&[time], |_, view| found = Some(view.clone()));
        }
        found
    }

    fn add_lost_marked_dead(&self, figures: &mut Vec<Figure>) {
        let (Some(lost_at), Some(window)) = (self.lost_at, self.window(Phase::ZoneLost)) else { return };
        for after_s in LOST_MARKED_DEAD_CHECKS_S {
            let time = lost_at + f64::from(after_s) * 1e3;
            if time > window.until && after_s != DETECTION_LIMIT_S {
                continue;
            }
            let value = self.view_at(time).and_then(|view| view.lost_pairs().share());
            let target = (after_s == DETECTION_LIMIT_S).then_some(Target::AtLeast(MIN_LOST_MARKED_DEAD));
            figures.push(Figure { measure: Measure::LostMarkedDead { after_s }, value, target });
        }
    }

    /// The share of live hollow routers that know a change `after_ms` after it, over all changes.
    fn known_after(&self, changes: &[ObservedChange], after_ms: f64) -> Option<f64> {
        let mut due: Vec<&ObservedChange> = changes.iter().collect();
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        let times: Vec<f64> = due.iter().map(|change| change.at + after_ms).collect();
        let (mut all, mut knowing, mut number) = (0, 0, 0);
        self.visit_views(&times, |_, view| {
            let change = due[number];
            number += 1;
            all += view.observers().count();
            knowing += view.observers().filter(|observer| view.knows_primary(*observer, change)).count();
        });
        let has_elapsed = times.last().is_some_and(|last| *last <= self.ends_at());
        (all > 0 && has_elapsed).then(|| knowing as f64 / all as f64)
    }

    fn add_primaries_known(&self, figures: &mut Vec<Figure>) {
        if self.lost_at.is_none() {
            return;
        }
        let changes = self.view_at(self.ends_at()).map(|view| view.primary_changes).unwrap_or_default();
        for after_s in PRIMARIES_KNOWN_CHECKS_S {
            let value = self.known_after(&changes, f64::from(after_s) * 1e3);
            let target = (after_s == DETECTION_LIMIT_S).then_some(Target::AtLeast(MIN_PRIMARIES_KNOWN));
            figures.push(Figure { measure: Measure::PrimariesKnown { after_s }, value, target });
        }
    }

    /// Figures from what real routers last logged before each time; they log every ten seconds.
    fn add_real_routers(&self, figures: &mut Vec<Figure>) {
        let (Some(lost_at), Some(window)) = (self.lost_at, self.window(Phase::ZoneLost)) else { return };
        if self.plan.real == 0 {
            return;
        }
        for after_s in REAL_LOST_UNCOUNTED_CHECKS_S {
            let time = lost_at + f64::from(after_s) * 1e3;
            if time <= window.until {
                let value = self.view_at(time).and_then(|view| real_uncounted_share(&view));
                figures.push(Figure { measure: Measure::RealLostUncounted { after_s }, value, target: None });
            }
        }
        let after_s = REAL_GROUPS_KNOWN_CHECK_S;
        let time = lost_at + f64::from(after_s) * 1e3;
        if time <= window.until {
            let value = self.view_at(time).and_then(|view| real_groups_known_share(&view));
            figures.push(Figure { measure: Measure::RealGroupsKnown { after_s }, value, target: None });
        }
    }

    fn add_recovery(&self, figures: &mut Vec<Figure>) {
        for phase in [Phase::ZoneBack, Phase::Stop, Phase::Loss] {
            let Some(view) = self.window(phase).and_then(|window| self.view_at(window.until)) else {
                continue;
            };
            let value = view.returned_pairs().share().map(|marked_dead| 1.0 - marked_dead);
            figures.push(Figure { measure: Measure::ReturnedCounted { phase }, value, target: None });
        }
        if let Some(view) = self.window(Phase::Cut).and_then(|window| self.view_at(window.until)) {
            let sides = self.plan.sides_of_cut();
            let side = |member: u16| sides[usize::from(member)];
            let value = view.pairs(|observer, member| side(observer) != side(member)).share();
            figures.push(Figure { measure: Measure::OtherSideMarkedDead, value, target: None });
        }
        if let Some(view) = self.window(Phase::Healed).and_then(|window| self.view_at(window.until)) {
            let value = view.live_pairs().share();
            figures.push(Figure { measure: Measure::HealedMarkedDead, value, target: None });
        }
    }

    fn curve(&self) -> Vec<Point> {
        let steps = (self.ends_at() / CURVE_STEP_MS) as usize;
        let times: Vec<f64> = (1..=steps).map(|step| step as f64 * CURVE_STEP_MS).collect();
        let mut curve = Vec::new();
        self.visit_views(&times, |at, view| {
            curve.push(Point {
                at,
                lost_marked_dead: view.lost_pairs().share(),
                live_marked_dead: view.never_lost_pairs().share(),
                returned_marked_dead: view.returned_pairs().share(),
                primaries_known: primaries_known_share(view),
            });
        });
        curve
    }

    /// The maximum at any time during each of the phases in which live members stay reachable.
    fn add_live_marked_dead(&self, curve: &[Point], figures: &mut Vec<Figure>) {
        for phase in CONNECTED_PHASES {
            let Some(window) = self.window(phase) else { continue };
            let during = curve.iter().filter(|point| (window.from..window.until).contains(&point.at));
            let value = during.filter_map(|point| point.live_marked_dead).reduce(f64::max);
            let target = Some(Target::AtMost(MAX_LIVE_MARKED_DEAD));
            figures.push(Figure { measure: Measure::LiveMarkedDead { phase }, value, target });
        }
    }

    /// The readings in a window, by process.
    fn readings(
        &self,
        window: Window,
        read: impl Fn(&Event) -> Option<(ProcessName, f64)>,
    ) -> HashMap<ProcessName, Vec<Reading>> {
        let mut all: HashMap<ProcessName, Vec<Reading>> = HashMap::new();
        for entry in self.entries.iter().filter(|entry| (window.from..=window.until).contains(&entry.at)) {
            if let Some((name, value)) = read(&entry.event) {
                all.entry(name).or_default().push(Reading { at: entry.at, value });
            }
        }
        all
    }

    /// Growth per second and router in a window: the mean of all hollow or of all real routers.
    fn rate(
        &self,
        window: Window,
        hollow: bool,
        read: impl Fn(&Event) -> Option<(ProcessName, f64)>,
    ) -> Option<f64> {
        let (mut sum, mut routers) = (0.0, 0.0);
        for (name, readings) in self.readings(window, read) {
            let router_count = match name {
                ProcessName::Hollow(process) if hollow => self.plan.members_of_process(process).len() as f64,
                ProcessName::Real(_) if !hollow => 1.0,
                _ => continue,
            };
            let Some(growth) = growth_per_second(&readings) else { continue };
            sum += growth;
            routers += router_count;
        }
        (routers > 0.0).then(|| sum / routers)
    }

    fn add_traffic(&self, figures: &mut Vec<Figure>) {
        let hollow_bytes = |event: &Event| match event {
            Event::Totals { process, totals } => Some((ProcessName::Hollow(*process), totals.bytes as f64)),
            _ => None,
        };
        let real_bytes = |event: &Event| match event {
            Event::RealFigures { member, bytes, .. } => Some((ProcessName::Real(*member), *bytes as f64)),
            _ => None,
        };
        let target = Some(Target::AtMost(MAX_BYTES_PER_SECOND));
        for phase in [Phase::Quiet, Phase::ZoneLost] {
            let Some(window) = self.measured(phase) else { continue };
            let value = self.rate(window, true, hollow_bytes);
            figures.push(Figure { measure: Measure::HollowBytes { phase }, value, target });
            let value = self.max_bytes(window);
            figures.push(Figure { measure: Measure::MaxBytes { phase }, value, target: None });
            if self.plan.real > 0 && window.until - window.from > 2.0 * real::FIGURES_INTERVAL_MS {
                let value = self.rate(window, false, real_bytes);
                figures.push(Figure { measure: Measure::RealBytes { phase }, value, target });
            }
        }
    }

    fn max_bytes(&self, window: Window) -> Option<f64> {
        let during = self.entries.iter().filter(|entry| (window.from..window.until).contains(&entry.at));
        let max_bytes = during.filter_map(|entry| match entry.event {
            Event::Totals { totals, .. } => Some(totals.most_bytes as f64),
            _ => None,
        });
        max_bytes.reduce(f64::max)
    }

    fn add_processor(&self, figures: &mut Vec<Figure>) {
        let used = |event: &Event| match event {
            Event::Usage { process, processor_ms, .. } => Some((*process, processor_ms / 1e3)),
            _ => None,
        };
        let target = Some(Target::AtMost(MAX_CORE_SHARE));
        for phase in [Phase::Quiet, Phase::ZoneLost] {
            let Some(window) = self.measured(phase) else { continue };
            let value = self.rate(window, true, used);
            figures.push(Figure { measure: Measure::HollowProcessor { phase }, value, target });
            if self.plan.real > 0 {
                let value = self.rate(window, false, used);
                figures.push(Figure { measure: Measure::RealProcessor { phase }, value, target });
            }
        }
    }

    fn add_memory(&self, machine_memory_mb: f64, figures: &mut Vec<Figure>) {
        let mut peaks_mb: HashMap<ProcessName, f64> = HashMap::new();
        for entry in self.entries {
            if let Event::Usage { process, memory_mb, .. } = entry.event {
                let peak = peaks_mb.entry(process).or_default();
                *peak = peak.max(memory_mb);
            }
        }
        let hollow: Vec<f64> = peaks_mb
            .iter()
            .filter(|(name, _)| matches!(name, ProcessName::Hollow(_)))
            .map(|(_, mb)| *mb)
            .collect();
        let real =
            peaks_mb.iter().filter(|(name, _)| matches!(name, ProcessName::Real(_))).map(|(_, mb)| *mb);
        let value = (!hollow.is_empty()).then(|| hollow.iter().sum::<f64>() / self.plan.hollow as f64);
        figures.push(Figure { measure: Measure::HollowMemory, value, target: None });
        if self.plan.real > 0 {
            let target = Some(Target::AtMost(MAX_REAL_MEMORY_MB));
            figures.push(Figure { measure: Measure::RealMemory, value: real.reduce(f64::max), target });
        }
        let value = (!peaks_mb.is_empty()).then(|| peaks_mb.values().sum::<f64>() / machine_memory_mb);
        let target = Some(Target::AtMost(MAX_MACHINE_MEMORY_SHARE));
        figures.push(Figure { measure: Measure::MachineMemory, value, target });
    }

    /// The share of late ticks before the phase in which a process is stopped on purpose.
    fn add_late_ticks(&self, figures: &mut Vec<Figure>) {
        let until = self.window(Phase::Stop).map_or(self.ends_at(), |window| window.from);
        let mut last = HashMap::new();
        for entry in self.entries.iter().filter(|entry| entry.at < until) {
            if let Event::Totals { process, totals } = entry.event {
                last.insert(process, totals);
            }
        }
        let ticks: u64 = last.values().map(|totals| totals.ticks).sum();
        let late: u64 = last.values().map(|totals| totals.late_ticks).sum();
        let value = (ticks > 0).then(|| late as f64 / ticks as f64);
        let target = Some(Target::AtMost(MAX_LATE_TICK_SHARE));
        figures.push(Figure { measure: Measure::LateTicks, value, target });
    }
}

/// Growth per second from the first reading to the last; none if the value has restarted in between or there
/// are fewer than two readings.
fn growth_per_second(readings: &[Reading]) -> Option<f64> {
    let (first, last) = (readings.first()?, readings.last()?);
    let grows = readings.windows(2).all(|pair| pair[0].value <= pair[1].value);
    (grows && last.at > first.at).then(|| (last.value - first.value) / ((last.at - first.at) / 1e3))
}

/// The share of lost members that live real routers no longer count: the mean of these routers.
fn real_uncounted_share(view: &View) -> Option<f64> {
    let members = view.alive.len();
    let lost = members - view.live_member_count();
    let live_real = view.real_counted.iter().filter(|(member, _)| view.alive[usize::from(**member)]);
    let shares: Vec<f64> =
        live_real.map(|(_, counted)| (members.saturating_sub(*counted)) as f64 / lost as f64).collect();
    (!shares.is_empty() && lost > 0).then(|| shares.iter().sum::<f64>() / shares.len() as f64)
}

/// The share of changed primaries that live real routers know: the mean of these routers.
fn real_groups_known_share(view: &View) -> Option<f64> {
    let changes = view.primary_changes.len();
    let live_real = view.real_known_groups.iter().filter(|(member, _)| view.alive[usize::from(**member)]);
    let shares: Vec<f64> = live_real.map(|(_, groups)| *groups as f64 / changes as f64).collect();
    (!shares.is_empty() && changes > 0).then(|| shares.iter().sum::<f64>() / shares.len() as f64)
}

/// The share of pairs of a live hollow router and a change of primary in which the router knows the change.
fn primaries_known_share(view: &View) -> Option<f64> {
    let observers: Vec<u16> = view.observers().collect();
    let all = observers.len() * view.primary_changes.len();
    let knows = |change: &ObservedChange| {
        observers.iter().filter(|observer| view.knows_primary(**observer, change)).count()
    };
    let known: usize = view.primary_changes.iter().map(knows).sum();
    (all > 0).then(|| known as f64 / all as f64)
}

#[cfg(test)]
mod tests;
