//! Reads what was seen in a scale test and says which aims were kept. No I/O.

use super::message::{Entry, Event, Phase, ProcessName};
use super::plan::Plan;
use super::real;
use super::recorder::{Change, View};
use std::collections::HashMap;
use std::fmt;

/// What is aimed at: shares of pairs and of a core, bytes a second, MB.
const LOST_HELD_DEAD: f64 = 0.99;
const LIVE_HELD_DEAD: f64 = 0.001;
const PRIMARIES_KNOWN: f64 = 0.99;
const BYTES_A_SECOND: f64 = 2_000.0;
const PROCESSOR: f64 = 0.04;
const REAL_MEMORY_MB: f64 = 32.0;
const MACHINE_SHARE: f64 = 0.5;
/// With more the machine was too busy for the other figures to mean anything.
const LATE_TICKS: f64 = 0.001;
/// Within so many seconds a lost zone is to be held dead and a new primary to be known.
pub const WITHIN_S: u32 = 9;
/// Seconds after which losses and primaries are looked at.
const LOSSES_AFTER_S: [u32; 3] = [WITHIN_S, 30, 90];
const PRIMARIES_AFTER_S: [u32; 3] = [5, WITHIN_S, 10];
const REAL_AFTER_S: [u32; 2] = [30, 90];
/// A router forgets a primary a minute after it was seen.
const REAL_GROUPS_AFTER_S: u32 = 30;
/// What a router sends and uses in the event is measured over its first part.
const EVENT_MS: f64 = 30_000.0;
/// Phases in which no router that was never lost is out of reach of another for as long as a suspicion lasts.
const UNHARMED: [Phase; 5] = [Phase::Quiet, Phase::ZoneLost, Phase::ZoneBack, Phase::Stop, Phase::Loss];
/// Curves have a point in so many ms.
const STEP_MS: f64 = 500.0;

/// What was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    LostHeldDead { after_s: u32 },
    LiveHeldDead { phase: Phase },
    PrimariesKnown { after_s: u32 },
    HollowBytes { phase: Phase },
    MostBytes { phase: Phase },
    RealBytes { phase: Phase },
    HollowProcessor { phase: Phase },
    RealProcessor { phase: Phase },
    HollowMemory,
    RealMemory,
    MachineMemory,
    RealLostUncounted { after_s: u32 },
    RealGroupsKnown { after_s: u32 },
    ReturnedCounted { phase: Phase },
    OtherSideHeldDead,
    HealedHeldDead,
    LateTicks,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Measure::LostHeldDead { after_s } => write!(f, "lost members held dead {after_s} s after, share"),
            Measure::LiveHeldDead { phase } => {
                write!(f, "live members that were never lost, held dead at most, {phase:?}, share")
            }
            Measure::PrimariesKnown { after_s } => write!(f, "new primaries known after {after_s} s, share"),
            Measure::HollowBytes { phase } => write!(f, "bytes a second and hollow router, {phase:?}"),
            Measure::MostBytes { phase } => {
                write!(f, "most bytes of one hollow router in a second, {phase:?}")
            }
            Measure::RealBytes { phase } => write!(f, "bytes a second and real router, {phase:?}"),
            Measure::HollowProcessor { phase } => write!(f, "part of a core a hollow router, {phase:?}"),
            Measure::RealProcessor { phase } => write!(f, "part of a core a real router, {phase:?}"),
            Measure::HollowMemory => write!(f, "MB a hollow router, its part of the process included"),
            Measure::RealMemory => write!(f, "MB of the largest real router"),
            Measure::MachineMemory => write!(f, "part of the machine's memory, all processes"),
            Measure::RealLostUncounted { after_s } => {
                write!(f, "lost members no longer counted by real routers after {after_s} s, share")
            }
            Measure::RealGroupsKnown { after_s } => {
                write!(f, "new primaries known to real routers after {after_s} s, share")
            }
            Measure::ReturnedCounted { phase } => {
                write!(f, "returned members counted at the end of {phase:?}, share")
            }
            Measure::OtherSideHeldDead => write!(f, "other side held dead at the end of the cut, share"),
            Measure::HealedHeldDead => write!(f, "members held dead at the end of Healed, share"),
            Measure::LateTicks => write!(f, "ticks over 0.4 s late before Stop, share: the machine's load"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Aim {
    AtLeast(f64),
    AtMost(f64),
}

/// A measured value; none where nothing was there to measure, which keeps no aim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    pub measure: Measure,
    pub value: Option<f64>,
    pub aim: Option<Aim>,
}

impl Figure {
    pub fn is_missed(&self) -> bool {
        match (self.aim, self.value) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(Aim::AtLeast(least)), Some(value)) => value < least,
            (Some(Aim::AtMost(most)), Some(value)) => value > most,
        }
    }
}

/// A point of the curves; shares are none where there are no pairs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub at: f64,
    pub lost_held_dead: Option<f64>,
    /// Of live members that were never lost.
    pub live_held_dead: Option<f64>,
    /// Of those that were lost and are back.
    pub returned_held_dead: Option<f64>,
    pub primaries_known: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub figures: Vec<Figure>,
    pub curve: Vec<Point>,
    /// When each phase began.
    pub phases: Vec<(Phase, f64)>,
}

impl Verdict {
    /// Whether this was measured and its aim missed.
    pub fn misses(&self, measure: Measure) -> bool {
        self.figures.iter().any(|figure| figure.measure == measure && figure.is_missed())
    }

    pub fn missed(&self) -> Vec<Measure> {
        self.figures.iter().filter(|figure| figure.is_missed()).map(|figure| figure.measure).collect()
    }

    /// A control has failed as it must: new primaries did not get about, and the lost zone was not told
    /// from the rest.
    pub fn control_fails(&self) -> bool {
        let confused = self.misses(Measure::LostHeldDead { after_s: WITHIN_S })
            || self.misses(Measure::LiveHeldDead { phase: Phase::ZoneLost });
        self.misses(Measure::PrimariesKnown { after_s: WITHIN_S }) && confused
    }

    /// Whether the loss of the zone is known too late.
    pub fn misses_loss(&self) -> bool {
        self.misses(Measure::LostHeldDead { after_s: WITHIN_S })
    }
}

/// Reads entries, which are in the order of their times.
pub fn judge(plan: &Plan, entries: &[Entry], machine_memory_mb: f64) -> Verdict {
    let test = Test::new(plan, entries);
    let mut figures = Vec::new();
    test.losses(&mut figures);
    test.primaries(&mut figures);
    test.real_beliefs(&mut figures);
    test.after_events(&mut figures);
    test.traffic(&mut figures);
    test.processor(&mut figures);
    test.memory(machine_memory_mb, &mut figures);
    test.late_ticks(&mut figures);
    let curve = test.curve();
    test.live_held_dead(&curve, &mut figures);
    Verdict { figures, curve, phases: test.phases }
}

/// From when to when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Window {
    from: f64,
    until: f64,
}

/// A value that grows, at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reading {
    at: f64,
    value: f64,
}

struct Test<'a> {
    plan: &'a Plan,
    entries: &'a [Entry],
    phases: Vec<(Phase, f64)>,
    lost_at: Option<f64>,
}

impl<'a> Test<'a> {
    fn new(plan: &'a Plan, entries: &'a [Entry]) -> Test<'a> {
        let phase = |entry: &Entry| match entry.event {
            Event::Phase(phase) => Some((phase, entry.at)),
            _ => None,
        };
        let lost = |entry: &Entry| matches!(entry.event, Event::ZoneLost { .. }).then_some(entry.at);
        let phases = entries.iter().filter_map(phase).collect();
        Test { plan, entries, phases, lost_at: entries.iter().find_map(lost) }
    }

    fn window(&self, phase: Phase) -> Option<Window> {
        let index = self.phases.iter().position(|(of, _)| *of == phase)?;
        let until = self.phases.get(index + 1).map_or(self.ends_at(), |(_, at)| *at);
        Some(Window { from: self.phases[index].1, until })
    }

    /// The phase as far as traffic and processor time are measured.
    fn measured(&self, phase: Phase) -> Option<Window> {
        let window = self.window(phase)?;
        Some(Window { until: window.until.min(window.from + EVENT_MS), ..window })
    }

    fn ends_at(&self) -> f64 {
        self.entries.last().map_or(0.0, |entry| entry.at)
    }

    /// Looks at what was believed at these times, which are in order.
    fn walk(&self, times: &[f64], mut look: impl FnMut(f64, &View)) {
        let (mut view, mut next) = (View::new(self.plan), 0);
        for time in times {
            while let Some(entry) = self.entries.get(next).filter(|entry| entry.at <= *time) {
                view.apply(entry);
                next += 1;
            }
            look(*time, &view);
        }
    }

    /// What was believed at one time; none after the end of the test.
    fn view_at(&self, time: f64) -> Option<View> {
        let mut found = None;
        if time <= self.ends_at() {
            self.walk(&[time], |_, view| found = Some(view.clone()));
        }
        found
    }

    fn losses(&self, figures: &mut Vec<Figure>) {
        let (Some(lost_at), Some(window)) = (self.lost_at, self.window(Phase::ZoneLost)) else { return };
        for after_s in LOSSES_AFTER_S {
            let time = lost_at + f64::from(after_s) * 1e3;
            if time > window.until && after_s != WITHIN_S {
                continue;
            }
            let value = self.view_at(time).and_then(|view| view.lost_pairs().share());
            let aim = (after_s == WITHIN_S).then_some(Aim::AtLeast(LOST_HELD_DEAD));
            figures.push(Figure { measure: Measure::LostHeldDead { after_s }, value, aim });
        }
    }

    /// The share of live hollow routers that know the changes so long after each.
    fn known_after(&self, changes: &[Change], after_ms: f64) -> Option<f64> {
        let mut due: Vec<&Change> = changes.iter().collect();
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        let times: Vec<f64> = due.iter().map(|change| change.at + after_ms).collect();
        let (mut all, mut know, mut number) = (0, 0, 0);
        self.walk(&times, |_, view| {
            let change = due[number];
            number += 1;
            all += view.observers().count();
            know += view.observers().filter(|observer| view.knows(*observer, change)).count();
        });
        let over = times.last().is_some_and(|last| *last <= self.ends_at());
        (all > 0 && over).then(|| know as f64 / all as f64)
    }

    fn primaries(&self, figures: &mut Vec<Figure>) {
        if self.lost_at.is_none() {
            return;
        }
        let changes = self.view_at(self.ends_at()).map(|view| view.changes).unwrap_or_default();
        for after_s in PRIMARIES_AFTER_S {
            let value = self.known_after(&changes, f64::from(after_s) * 1e3);
            let aim = (after_s == WITHIN_S).then_some(Aim::AtLeast(PRIMARIES_KNOWN));
            figures.push(Figure { measure: Measure::PrimariesKnown { after_s }, value, aim });
        }
    }

    /// What real routers last said before each time; their lines come every ten seconds.
    fn real_beliefs(&self, figures: &mut Vec<Figure>) {
        let (Some(lost_at), Some(window)) = (self.lost_at, self.window(Phase::ZoneLost)) else { return };
        if self.plan.real == 0 {
            return;
        }
        for after_s in REAL_AFTER_S {
            let time = lost_at + f64::from(after_s) * 1e3;
            if time <= window.until {
                let value = self.view_at(time).and_then(|view| real_uncounted(&view));
                figures.push(Figure { measure: Measure::RealLostUncounted { after_s }, value, aim: None });
            }
        }
        let after_s = REAL_GROUPS_AFTER_S;
        let time = lost_at + f64::from(after_s) * 1e3;
        if time <= window.until {
            let value = self.view_at(time).and_then(|view| real_groups_known(&view));
            figures.push(Figure { measure: Measure::RealGroupsKnown { after_s }, value, aim: None });
        }
    }

    fn after_events(&self, figures: &mut Vec<Figure>) {
        for phase in [Phase::ZoneBack, Phase::Stop, Phase::Loss] {
            let Some(view) = self.window(phase).and_then(|window| self.view_at(window.until)) else {
                continue;
            };
            let value = view.returned_pairs().share().map(|held_dead| 1.0 - held_dead);
            figures.push(Figure { measure: Measure::ReturnedCounted { phase }, value, aim: None });
        }
        if let Some(view) = self.window(Phase::Cut).and_then(|window| self.view_at(window.until)) {
            let sides = self.plan.halves();
            let side = |member: u16| sides[usize::from(member)];
            let value = view.pairs(|observer, member| side(observer) != side(member)).share();
            figures.push(Figure { measure: Measure::OtherSideHeldDead, value, aim: None });
        }
        if let Some(view) = self.window(Phase::Healed).and_then(|window| self.view_at(window.until)) {
            let value = view.live_pairs().share();
            figures.push(Figure { measure: Measure::HealedHeldDead, value, aim: None });
        }
    }

    fn curve(&self) -> Vec<Point> {
        let steps = (self.ends_at() / STEP_MS) as usize;
        let times: Vec<f64> = (1..=steps).map(|step| step as f64 * STEP_MS).collect();
        let mut curve = Vec::new();
        self.walk(&times, |at, view| {
            curve.push(Point {
                at,
                lost_held_dead: view.lost_pairs().share(),
                live_held_dead: view.unharmed_pairs().share(),
                returned_held_dead: view.returned_pairs().share(),
                primaries_known: share_known(view),
            });
        });
        curve
    }

    /// The most at any time in the phases in which no live member is out of reach.
    fn live_held_dead(&self, curve: &[Point], figures: &mut Vec<Figure>) {
        for phase in UNHARMED {
            let Some(window) = self.window(phase) else { continue };
            let during = curve.iter().filter(|point| (window.from..window.until).contains(&point.at));
            let value = during.filter_map(|point| point.live_held_dead).reduce(f64::max);
            let aim = Some(Aim::AtMost(LIVE_HELD_DEAD));
            figures.push(Figure { measure: Measure::LiveHeldDead { phase }, value, aim });
        }
    }

    /// Readings in a window by whose they are.
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

    /// Growth a second and router in a window, of hollow or real ones: the mean of all.
    fn rate(
        &self,
        window: Window,
        hollow: bool,
        read: impl Fn(&Event) -> Option<(ProcessName, f64)>,
    ) -> Option<f64> {
        let (mut sum, mut routers) = (0.0, 0.0);
        for (name, readings) in self.readings(window, read) {
            let of_this = match name {
                ProcessName::Hollow(process) if hollow => self.plan.slice(process).len() as f64,
                ProcessName::Real(_) if !hollow => 1.0,
                _ => continue,
            };
            let Some(grown) = growth_a_second(&readings) else { continue };
            sum += grown;
            routers += of_this;
        }
        (routers > 0.0).then(|| sum / routers)
    }

    fn traffic(&self, figures: &mut Vec<Figure>) {
        let hollow_bytes = |event: &Event| match event {
            Event::Totals { process, totals } => Some((ProcessName::Hollow(*process), totals.bytes as f64)),
            _ => None,
        };
        let real_bytes = |event: &Event| match event {
            Event::RealFigures { member, bytes, .. } => Some((ProcessName::Real(*member), *bytes as f64)),
            _ => None,
        };
        let aim = Some(Aim::AtMost(BYTES_A_SECOND));
        for phase in [Phase::Quiet, Phase::ZoneLost] {
            let Some(window) = self.measured(phase) else { continue };
            let value = self.rate(window, true, hollow_bytes);
            figures.push(Figure { measure: Measure::HollowBytes { phase }, value, aim });
            let value = self.most_bytes(window);
            figures.push(Figure { measure: Measure::MostBytes { phase }, value, aim: None });
            if self.plan.real > 0 && window.until - window.from > 2.0 * real::LINES_EVERY_MS {
                let value = self.rate(window, false, real_bytes);
                figures.push(Figure { measure: Measure::RealBytes { phase }, value, aim });
            }
        }
    }

    fn most_bytes(&self, window: Window) -> Option<f64> {
        let during = self.entries.iter().filter(|entry| (window.from..window.until).contains(&entry.at));
        let most = during.filter_map(|entry| match entry.event {
            Event::Totals { totals, .. } => Some(totals.most_bytes as f64),
            _ => None,
        });
        most.reduce(f64::max)
    }

    fn processor(&self, figures: &mut Vec<Figure>) {
        let used = |event: &Event| match event {
            Event::Usage { process, processor_ms, .. } => Some((*process, processor_ms / 1e3)),
            _ => None,
        };
        let aim = Some(Aim::AtMost(PROCESSOR));
        for phase in [Phase::Quiet, Phase::ZoneLost] {
            let Some(window) = self.measured(phase) else { continue };
            let value = self.rate(window, true, used);
            figures.push(Figure { measure: Measure::HollowProcessor { phase }, value, aim });
            if self.plan.real > 0 {
                let value = self.rate(window, false, used);
                figures.push(Figure { measure: Measure::RealProcessor { phase }, value, aim });
            }
        }
    }

    fn memory(&self, machine_memory_mb: f64, figures: &mut Vec<Figure>) {
        let mut most: HashMap<ProcessName, f64> = HashMap::new();
        for entry in self.entries {
            if let Event::Usage { process, memory_mb, .. } = entry.event {
                let held = most.entry(process).or_default();
                *held = held.max(memory_mb);
            }
        }
        let hollow: Vec<f64> = most
            .iter()
            .filter(|(name, _)| matches!(name, ProcessName::Hollow(_)))
            .map(|(_, mb)| *mb)
            .collect();
        let real = most.iter().filter(|(name, _)| matches!(name, ProcessName::Real(_))).map(|(_, mb)| *mb);
        let value = (!hollow.is_empty()).then(|| hollow.iter().sum::<f64>() / self.plan.hollow as f64);
        figures.push(Figure { measure: Measure::HollowMemory, value, aim: None });
        if self.plan.real > 0 {
            let aim = Some(Aim::AtMost(REAL_MEMORY_MB));
            figures.push(Figure { measure: Measure::RealMemory, value: real.reduce(f64::max), aim });
        }
        let value = (!most.is_empty()).then(|| most.values().sum::<f64>() / machine_memory_mb);
        let aim = Some(Aim::AtMost(MACHINE_SHARE));
        figures.push(Figure { measure: Measure::MachineMemory, value, aim });
    }

    /// Of all ticks before a process is stopped on purpose.
    fn late_ticks(&self, figures: &mut Vec<Figure>) {
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
        let aim = Some(Aim::AtMost(LATE_TICKS));
        figures.push(Figure { measure: Measure::LateTicks, value, aim });
    }
}

/// Growth from the first reading to the last; none where it was begun anew between them, or there are not
/// two.
fn growth_a_second(readings: &[Reading]) -> Option<f64> {
    let (first, last) = (readings.first()?, readings.last()?);
    let grows = readings.windows(2).all(|pair| pair[0].value <= pair[1].value);
    (grows && last.at > first.at).then(|| (last.value - first.value) / ((last.at - first.at) / 1e3))
}

/// Of lost members the share that live real routers no longer count.
fn real_uncounted(view: &View) -> Option<f64> {
    let members = view.alive.len();
    let lost = members - view.live_members();
    let live_real = view.real_counts.iter().filter(|(member, _)| view.alive[usize::from(**member)]);
    let shares: Vec<f64> =
        live_real.map(|(_, counted)| (members.saturating_sub(*counted)) as f64 / lost as f64).collect();
    (!shares.is_empty() && lost > 0).then(|| shares.iter().sum::<f64>() / shares.len() as f64)
}

fn real_groups_known(view: &View) -> Option<f64> {
    let changes = view.changes.len();
    let live_real = view.real_groups.iter().filter(|(member, _)| view.alive[usize::from(**member)]);
    let shares: Vec<f64> = live_real.map(|(_, groups)| *groups as f64 / changes as f64).collect();
    (!shares.is_empty() && changes > 0).then(|| shares.iter().sum::<f64>() / shares.len() as f64)
}

/// Pairs of a live hollow router and a change of primary that it knows, by their share.
fn share_known(view: &View) -> Option<f64> {
    let observers: Vec<u16> = view.observers().collect();
    let all = observers.len() * view.changes.len();
    let knows = |change: &Change| observers.iter().filter(|observer| view.knows(**observer, change)).count();
    let known: usize = view.changes.iter().map(knows).sum();
    (all > 0).then(|| known as f64 / all as f64)
}

#[cfg(test)]
mod tests;
