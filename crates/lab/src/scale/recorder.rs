//! Collects the events of all processes and derives from them each router's view of the members.

use super::message::{Entry, Event};
use super::plan::{MemberId, Plan};
use crate::tier::net::Epoch;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The state of the test after a number of entries, and the members each hollow router marks dead.
#[derive(Clone, Debug)]
pub struct View {
    zones: Vec<usize>,
    hollow: usize,
    process_members: Vec<Vec<MemberId>>,
    /// By member: whether its process runs.
    pub alive: Vec<bool>,
    /// By member: whether its zone was ever lost, even if it is back.
    ever_lost: Vec<bool>,
    /// By process: whether its routers run and it accepts commands.
    pub ready: Vec<bool>,
    /// By observer and member: whether the observer marks the member dead (does not count it).
    marked_dead: Vec<Vec<bool>>,
    /// The routers that know a group's primary, by group and host.
    knowing_routers: HashMap<(u32, u32), HashSet<MemberId>>,
    /// The changes of primary so far.
    pub primary_changes: Vec<ObservedChange>,
    /// The number of counted members that a real router last logged.
    pub real_counted: HashMap<MemberId, usize>,
    /// Datagrams dropped by the injected faults, by process.
    pub lost_datagrams: Vec<u64>,
    /// The number of groups with a known primary that a real router last logged.
    pub real_known_groups: HashMap<MemberId, usize>,
}

/// A group's new primary and the time at which one router observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedChange {
    pub at: f64,
    pub group: u32,
    pub host: u32,
}

/// Pairs of an observer and a member: the total, and those in which the observer marks the member dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pairs {
    pub total: usize,
    pub marked_dead: usize,
}

impl Pairs {
    /// The share that is marked dead; none if there are no pairs.
    pub fn share(&self) -> Option<f64> {
        (self.total > 0).then(|| self.marked_dead as f64 / self.total as f64)
    }
}

impl View {
    pub fn new(plan: &Plan) -> View {
        let members = plan.members();
        View {
            zones: plan.all_members().map(|member| plan.zone(member)).collect(),
            hollow: plan.hollow,
            process_members: (0..plan.processes).map(|process| plan.members_of_process(process)).collect(),
            alive: vec![true; members],
            ever_lost: vec![false; members],
            ready: vec![false; plan.processes],
            marked_dead: vec![vec![false; members]; plan.hollow],
            knowing_routers: HashMap::new(),
            primary_changes: Vec::new(),
            real_counted: HashMap::new(),
            lost_datagrams: vec![0; plan.processes],
            real_known_groups: HashMap::new(),
        }
    }

    /// Updates the view with one entry.
    pub fn apply(&mut self, entry: &Entry) {
        match entry.event {
            Event::Ready { process } => {
                self.ready[process] = true;
                for member in &self.process_members[process] {
                    self.marked_dead[usize::from(*member)].fill(false);
                }
            }
            Event::Belief { observer, member, counts } => {
                let is_marked_dead = self
                    .marked_dead
                    .get_mut(usize::from(observer))
                    .and_then(|d| d.get_mut(usize::from(member)));
                if let Some(is_marked_dead) = is_marked_dead {
                    *is_marked_dead = !counts;
                }
            }
            Event::Primary { observer, group, host } => {
                self.knowing_routers.entry((group, host)).or_default().insert(observer);
            }
            Event::PrimaryChanged { group, host, .. } => {
                self.primary_changes.push(ObservedChange { at: entry.at, group, host });
            }
            Event::RealFigures { member, counted, groups, .. } => {
                self.real_counted.insert(member, counted);
                self.real_known_groups.insert(member, groups);
            }
            Event::Totals { process, totals } => self.lost_datagrams[process] = totals.lost,
            Event::ZoneLost { zone } => self.set_zone(zone, false),
            Event::ZoneBack { zone } => self.set_zone(zone, true),
            Event::Usage { .. } | Event::Phase(_) | Event::Stopped { .. } => {}
        }
    }

    fn set_zone(&mut self, zone: usize, alive: bool) {
        for (member, member_zone) in self.zones.iter().enumerate() {
            if *member_zone == zone {
                self.alive[member] = alive;
                self.ever_lost[member] = true;
            }
        }
        if !alive {
            let lost =
                |members: &[MemberId]| members.first().is_some_and(|m| self.zones[usize::from(*m)] == zone);
            for (process, members) in self.process_members.iter().enumerate() {
                if lost(members) {
                    self.ready[process] = false;
                }
            }
        }
    }

    pub fn zone(&self, member: MemberId) -> usize {
        self.zones[usize::from(member)]
    }

    /// Whether an observer marks a member dead.
    pub fn marks_dead(&self, observer: MemberId, member: MemberId) -> bool {
        self.marked_dead[usize::from(observer)][usize::from(member)]
    }

    /// The live hollow routers.
    pub fn observers(&self) -> impl Iterator<Item = MemberId> + '_ {
        (0..self.hollow as MemberId).filter(|member| self.alive[usize::from(*member)])
    }

    /// Pairs of a live observer and another member for which `is_selected` is true.
    pub fn pairs(&self, is_selected: impl Fn(MemberId, MemberId) -> bool) -> Pairs {
        let mut pairs = Pairs::default();
        for observer in self.observers() {
            for member in 0..self.zones.len() as MemberId {
                if member != observer && is_selected(observer, member) {
                    pairs.total += 1;
                    pairs.marked_dead += usize::from(self.marks_dead(observer, member));
                }
            }
        }
        pairs
    }

    /// Pairs of a live observer and a lost member.
    pub fn lost_pairs(&self) -> Pairs {
        self.pairs(|_, member| !self.alive[usize::from(member)])
    }

    /// Pairs of a live observer and another live member.
    pub fn live_pairs(&self) -> Pairs {
        self.pairs(|_, member| self.alive[usize::from(member)])
    }

    /// Pairs of a live observer and another member that was never lost.
    pub fn never_lost_pairs(&self) -> Pairs {
        self.pairs(|_, member| !self.ever_lost[usize::from(member)])
    }

    /// Pairs of a live observer and another live member that was lost before.
    pub fn returned_pairs(&self) -> Pairs {
        self.pairs(|_, member| self.alive[usize::from(member)] && self.ever_lost[usize::from(member)])
    }

    /// Whether a router knows the primary that a group has changed to.
    pub fn knows_primary(&self, observer: MemberId, change: &ObservedChange) -> bool {
        self.knowing_routers
            .get(&(change.group, change.host))
            .is_some_and(|routers| routers.contains(&observer))
    }

    pub fn live_member_count(&self) -> usize {
        self.alive.iter().filter(|alive| **alive).count()
    }
}

/// All entries and the view after them.
struct State {
    view: View,
    entries: Vec<Entry>,
}

/// Collects entries from many threads.
pub struct Recorder {
    epoch: Epoch,
    state: Mutex<State>,
}

/// Interval at which an awaited condition is evaluated; evaluating it costs more than recording an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Recorder {
    pub fn new(plan: &Plan, epoch: Epoch) -> Recorder {
        let state = State { view: View::new(plan), entries: Vec::new() };
        Recorder { epoch, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an entry with the timestamp of another process.
    pub fn add(&self, entry: Entry) {
        let mut state = self.lock();
        state.view.apply(&entry);
        state.entries.push(entry);
    }

    /// Records an event with the current time.
    pub fn record(&self, event: Event) {
        self.add(Entry { at: self.epoch.now(), event });
    }

    /// Waits until the condition holds; false if it doesn't within `timeout`.
    pub fn wait_until(&self, timeout: Duration, condition: impl Fn(&View) -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if condition(&state.view) {
                return true;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            drop(state);
            // Entries arrive by the thousand, so the condition is not evaluated after each one.
            std::thread::sleep(POLL_INTERVAL.min(remaining));
            state = self.lock();
        }
    }

    /// All entries so far, in order of time.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.lock().entries.clone();
        entries.sort_by(|a, b| a.at.total_cmp(&b.at));
        entries
    }
}
