//! Collects what all processes saw, and what all routers believe at present as far as that says.

use super::message::{Entry, Event};
use super::plan::{Member, Plan};
use crate::tier::net::Epoch;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What is so and what each hollow router believes, after some entries.
#[derive(Clone, Debug)]
pub struct View {
    zones: Vec<usize>,
    hollow: usize,
    slices: Vec<Vec<Member>>,
    /// By member: its process runs.
    pub alive: Vec<bool>,
    /// By member: its zone was lost before, whether it is back or not.
    lost_before: Vec<bool>,
    /// By process: its routers run and can be told something.
    pub ready: Vec<bool>,
    /// By observer and member: held dead.
    dead: Vec<Vec<bool>>,
    /// Who has learned a group's primary, by group and host.
    learned: HashMap<(u32, u32), HashSet<Member>>,
    /// Groups' new primaries, and when they were so.
    pub changes: Vec<Change>,
    /// What a real router has last said to count.
    pub real_counts: HashMap<Member, usize>,
    /// Datagrams that faults have lost, by process.
    pub lost_datagrams: Vec<u64>,
    /// Groups whose primary a real router has last said to know.
    pub real_groups: HashMap<Member, usize>,
}

/// A group's new primary, as one router saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: f64,
    pub group: u32,
    pub host: u32,
}

/// Pairs of an observer and a member: how many there are, and in how many the observer holds the member dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pairs {
    pub all: usize,
    pub held_dead: usize,
}

impl Pairs {
    /// The share that is held dead; none where there are no pairs.
    pub fn share(&self) -> Option<f64> {
        (self.all > 0).then(|| self.held_dead as f64 / self.all as f64)
    }
}

impl View {
    pub fn new(plan: &Plan) -> View {
        let members = plan.members();
        View {
            zones: plan.all_members().map(|member| plan.zone(member)).collect(),
            hollow: plan.hollow,
            slices: (0..plan.processes).map(|process| plan.slice(process)).collect(),
            alive: vec![true; members],
            lost_before: vec![false; members],
            ready: vec![false; plan.processes],
            dead: vec![vec![false; members]; plan.hollow],
            learned: HashMap::new(),
            changes: Vec::new(),
            real_counts: HashMap::new(),
            lost_datagrams: vec![0; plan.processes],
            real_groups: HashMap::new(),
        }
    }

    /// Takes in one entry.
    pub fn apply(&mut self, entry: &Entry) {
        match entry.event {
            Event::Ready { process } => {
                self.ready[process] = true;
                for member in &self.slices[process] {
                    self.dead[usize::from(*member)].fill(false);
                }
            }
            Event::Belief { observer, member, counts } => {
                let held =
                    self.dead.get_mut(usize::from(observer)).and_then(|d| d.get_mut(usize::from(member)));
                if let Some(held) = held {
                    *held = !counts;
                }
            }
            Event::Primary { observer, group, host } => {
                self.learned.entry((group, host)).or_default().insert(observer);
            }
            Event::PrimaryChanged { group, host, .. } => {
                self.changes.push(Change { at: entry.at, group, host });
            }
            Event::RealFigures { member, counted, groups, .. } => {
                self.real_counts.insert(member, counted);
                self.real_groups.insert(member, groups);
            }
            Event::Totals { process, totals } => self.lost_datagrams[process] = totals.lost,
            Event::ZoneLost { zone } => self.set_zone(zone, false),
            Event::ZoneBack { zone } => self.set_zone(zone, true),
            Event::Usage { .. } | Event::Phase(_) | Event::Stopped { .. } => {}
        }
    }

    fn set_zone(&mut self, zone: usize, alive: bool) {
        for (member, of) in self.zones.iter().enumerate() {
            if *of == zone {
                self.alive[member] = alive;
                self.lost_before[member] = true;
            }
        }
        if !alive {
            let lost = |slice: &[Member]| slice.first().is_some_and(|m| self.zones[usize::from(*m)] == zone);
            for (process, slice) in self.slices.iter().enumerate() {
                if lost(slice) {
                    self.ready[process] = false;
                }
            }
        }
    }

    pub fn zone(&self, member: Member) -> usize {
        self.zones[usize::from(member)]
    }

    /// Whether an observer holds a member dead.
    pub fn holds_dead(&self, observer: Member, member: Member) -> bool {
        self.dead[usize::from(observer)][usize::from(member)]
    }

    /// Hollow routers that run.
    pub fn observers(&self) -> impl Iterator<Item = Member> + '_ {
        (0..self.hollow as Member).filter(|member| self.alive[usize::from(*member)])
    }

    /// Pairs of a live observer and another member that is chosen.
    pub fn pairs(&self, chosen: impl Fn(Member, Member) -> bool) -> Pairs {
        let mut pairs = Pairs::default();
        for observer in self.observers() {
            for member in 0..self.zones.len() as Member {
                if member != observer && chosen(observer, member) {
                    pairs.all += 1;
                    pairs.held_dead += usize::from(self.holds_dead(observer, member));
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

    /// Pairs of a live observer and another member that never was lost.
    pub fn unharmed_pairs(&self) -> Pairs {
        self.pairs(|_, member| !self.lost_before[usize::from(member)])
    }

    /// Pairs of a live observer and another live member that was lost before.
    pub fn returned_pairs(&self) -> Pairs {
        self.pairs(|_, member| self.alive[usize::from(member)] && self.lost_before[usize::from(member)])
    }

    /// Whether a router knows the primary that a group has changed to.
    pub fn knows(&self, observer: Member, change: &Change) -> bool {
        self.learned.get(&(change.group, change.host)).is_some_and(|all| all.contains(&observer))
    }

    pub fn live_members(&self) -> usize {
        self.alive.iter().filter(|alive| **alive).count()
    }
}

struct Held {
    view: View,
    entries: Vec<Entry>,
}

/// Takes entries from many threads.
pub struct Recorder {
    epoch: Epoch,
    held: Mutex<Held>,
}

/// How often a condition that somebody waits for is looked at; looking costs more than an entry.
const LOOK: Duration = Duration::from_millis(50);

impl Recorder {
    pub fn new(plan: &Plan, epoch: Epoch) -> Recorder {
        let held = Held { view: View::new(plan), entries: Vec::new() };
        Recorder { epoch, held: Mutex::new(held) }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an entry that another process has dated.
    pub fn take(&self, entry: Entry) {
        let mut held = self.lock();
        held.view.apply(&entry);
        held.entries.push(entry);
    }

    /// Takes what was seen just now.
    pub fn note(&self, event: Event) {
        self.take(Entry { at: self.epoch.now(), event });
    }

    /// Waits until the condition is so; false where the time is over before.
    pub fn wait_until(&self, bound: Duration, condition: impl Fn(&View) -> bool) -> bool {
        let until = Instant::now() + bound;
        let mut held = self.lock();
        loop {
            if condition(&held.view) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            drop(held);
            // Entries come in thousands: they are let come together.
            std::thread::sleep(LOOK.min(left));
            held = self.lock();
        }
    }

    /// All entries so far, in the order of their times.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.lock().entries.clone();
        entries.sort_by(|a, b| a.at.total_cmp(&b.at));
        entries
    }
}
