//! The proof that load is spread evenly over hosts although each router sees only a small part of it.
//! Hundreds of router processes run under the script's faults, once with and once without peer exchange, that
//! is, the exchange of observations between routers; the run without it is the control. Both are compared
//! with what a single router that sees all reads would have done with the same reads.

use crate::tier::record::{Record, Seen};
use crate::tier::report::{self, WINDOW_MS};
use crate::tier::runner::{self, Environment, RunOutcome};
use crate::tier::script::{Script, What, random_unit};
use plotters::prelude::*;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::path::Path;

/// The script of the proof; its seed is replaced by the caller's.
const SCRIPT: &str = include_str!("../scripts/spread.toml");

// The requirements.
/// Highest 99th percentile of the relative shares of warm replicas, over that of [`Chooser::Floor`].
const MAX_P99_OVER_FLOOR: f64 = 1.25;
/// Lowest relative share of a healthy, warm replica.
const MIN_SHARE: f64 = 0.5;
/// Datagrams per second and router in the steady state.
const MAX_DATAGRAMS_PER_SECOND: f64 = 2.0;
/// Processor time that the peer exchange takes, in cores per router.
const MAX_EXCHANGE_CORES: f64 = 0.02;

/// The steady state is measured in a run without faults, from this time on: by then the routers have
/// exchanged what they observed at the start.
const STEADY_FROM_MS: f64 = 10_000.0;
/// How long clients send ops in a run without faults.
const STEADY_RUN_MS: f64 = 18_000.0;

/// A way to choose the replica of a read, applied to the same reads at the same times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Chooser {
    /// A single router that sees all reads and chooses the replica with the fewest reads for its size. This
    /// is the floor that the routers are compared with.
    Floor,
    /// Round robin of each router by itself.
    RoundRobin,
    /// A random replica.
    Random,
    /// The less loaded of two random replicas, with the loads known as to a router that sees all reads.
    TwoChoices,
}

/// The relative shares of the replicas, as in [`report::outcome_share_stats`], if `chooser` had chosen the
/// replica of each read.
pub fn simulated_share_stats(
    outcome: &RunOutcome,
    chooser: Chooser,
    from: f64,
    until: f64,
) -> report::ShareStats {
    let (plan, s) = (&outcome.plan, &outcome.plan.script);
    let mut rng = s.rng(900);
    let mut reads_by_host: HashMap<usize, f64> = HashMap::new();
    let mut turns: HashMap<(u32, usize), usize> = HashMap::new();
    let mut record = Record::new();
    let mut window = usize::MAX;
    let mut replicas_by_group: HashMap<usize, Vec<usize>> = HashMap::new();
    for (at, seen) in &outcome.record {
        let Seen::Got { op, host, router } = *seen else { continue };
        if !(from..until).contains(at) {
            continue;
        }
        let current_window = ((at - from) / WINDOW_MS) as usize;
        if current_window != window {
            // Shares are counted per window, and so are the reads that the choice depends on.
            (window, replicas_by_group) = (current_window, HashMap::new());
            reads_by_host.clear();
        }
        let group = s.group_of(host as usize);
        let start = from + current_window as f64 * WINDOW_MS;
        let replicas =
            replicas_by_group.entry(group).or_insert_with(|| report::warm_replicas(plan, group, start));
        if !replicas.contains(&(host as usize)) {
            // Reads at primaries and cold hosts are not compared.
            record.push((*at, *seen));
            continue;
        }
        let load = |h: &usize| reads_by_host.get(h).copied().unwrap_or(0.0) / s.size(*h);
        let random_replica =
            |rng: &mut ChaCha8Rng| replicas[(random_unit(rng) * replicas.len() as f64) as usize];
        let chosen = match chooser {
            Chooser::Floor => {
                replicas.iter().copied().min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(0)
            }
            Chooser::Random => random_replica(&mut rng),
            Chooser::TwoChoices => {
                let (a, b) = (random_replica(&mut rng), random_replica(&mut rng));
                if load(&a) <= load(&b) { a } else { b }
            }
            Chooser::RoundRobin => {
                let turn =
                    turns.entry((router, group)).or_insert_with(|| (random_unit(&mut rng) * 64.0) as usize);
                *turn += 1;
                replicas[*turn % replicas.len()]
            }
        };
        *reads_by_host.entry(chosen).or_default() += 1.0;
        record.push((*at, Seen::Got { op, host: chosen as u32, router }));
    }
    report::share_stats(plan, &record, from, until)
}

/// The highest relative share of a warm replica in any second that follows the start or end of a fault.
fn max_share_after_events(outcome: &RunOutcome) -> f64 {
    let s = &outcome.plan.script;
    let events = s.faults.iter().flat_map(|f| [f.at_ms, f.at_ms + f.for_ms]);
    let in_run = events.filter(|at| (1.0..s.lasts_ms - 1_000.0).contains(at));
    in_run
        .map(|at| {
            report::share_stats_with_window(&outcome.plan, &outcome.record, at, at + 1_000.0, 1_000.0).max
        })
        .fold(0.0, f64::max)
}

/// The lowest relative share of a healthy, warm replica in the window that begins five seconds after the
/// start of the run or the end of an outage.
fn min_share_after_recovery(outcome: &RunOutcome) -> f64 {
    let s = &outcome.plan.script;
    let cold_ms = s.host.cold_ms;
    let outages = s.faults.iter().filter(|f| matches!(f.what, What::CutZone { .. } | What::Crash { .. }));
    let from: Vec<f64> = outages.map(|f| f.at_ms + f.for_ms + 5_000.0).chain([5_000.0]).collect();
    let in_run = from.into_iter().filter(|at| at + WINDOW_MS < s.lasts_ms && *at > 0.0 && cold_ms > 0.0);
    in_run
        .map(|at| {
            report::share_stats_with_window(&outcome.plan, &outcome.record, at, at + WINDOW_MS, WINDOW_MS).min
        })
        .fold(1.0, f64::min)
}

/// Datagrams per second and router in the steady state.
fn datagrams_per_second(outcome: &RunOutcome) -> f64 {
    let (from, until) = (STEADY_FROM_MS, outcome.plan.ends_at());
    let datagrams = outcome.record.iter().filter(|(at, _)| (from..until).contains(at)).filter_map(
        |(_, seen)| match seen {
            Seen::Peers { datagrams, .. } => Some(f64::from(*datagrams)),
            _ => None,
        },
    );
    datagrams.sum::<f64>() / outcome.plan.script.routers as f64 / ((until - from) / 1e3)
}

/// Processor time of the routers, in cores per router.
fn cores_per_router(outcome: &RunOutcome) -> f64 {
    outcome.processor_ms.iter().sum::<f64>() / outcome.plan.script.routers as f64 / outcome.plan.ends_at()
}

/// Performs all runs, prints the figures and writes the report; returns whether every requirement is met and
/// the control exceeds the 99th percentile that is allowed.
pub fn prove(
    environment: &Environment,
    seed: u64,
    routers: Option<usize>,
    html: Option<&Path>,
) -> Result<bool, String> {
    let mut script = Script::from_toml(SCRIPT)?;
    script.seed = seed;
    if let Some(routers) = routers {
        let scale = routers as f64 / script.routers as f64;
        script.load.ops *= scale;
        script.host.read_ms /= scale;
        script.host.write_ms /= scale;
        script.routers = routers;
    }
    let run = |name: &str, script: Script| {
        println!(
            "{name}: {} routers, {} hosts, {:.0} s",
            script.routers,
            script.hosts,
            script.lasts_ms / 1e3
        );
        let outcome = runner::run(script, environment)?;
        report::summary_lines(&outcome).iter().for_each(|line| println!("  {line}"));
        Ok::<RunOutcome, String>(outcome)
    };
    let without_faults = Script { faults: Vec::new(), lasts_ms: STEADY_RUN_MS, ..script.clone() };
    let control = Script { tier: None, ..script.clone() };
    let steady = run("with peer exchange, no faults", without_faults.clone())?;
    let steady_control = run("without peer exchange, no faults", Script { tier: None, ..without_faults })?;
    let outcome = run("with peer exchange", script)?;
    let control = run("without peer exchange: the control", control)?;
    let (from, until) = (0.0, outcome.plan.script.lasts_ms);
    println!("relative shares of warm replicas in windows of two seconds: p99, median, minimum");
    let print_stats = |name: &str, stats: report::ShareStats| {
        println!("  {name}: {:.2} {:.2} {:.2} of {}", stats.p99, stats.median, stats.min, stats.count)
    };
    let floor = simulated_share_stats(&outcome, Chooser::Floor, from, until);
    let (stats, control_stats) = (
        report::outcome_share_stats(&outcome, from, until),
        report::outcome_share_stats(&control, from, until),
    );
    print_stats("with peer exchange", stats);
    print_stats("without peer exchange", control_stats);
    print_stats("a single router that sees all reads: the floor", floor);
    for (name, chooser) in [
        ("round robin", Chooser::RoundRobin),
        ("random", Chooser::Random),
        ("two choices", Chooser::TwoChoices),
    ] {
        print_stats(name, simulated_share_stats(&outcome, chooser, from, until));
    }
    if let Some(html) = html {
        write_report(html, &outcome, &control, seed)?;
        println!("report: {}", html.display());
    }
    let failures = outcome.verdict.breaches.len() + outcome.crashed.len();
    let (p99_over_floor, control_p99_over_floor) = (stats.p99 / floor.p99, control_stats.p99 / floor.p99);
    let (max_share, min_share) = (max_share_after_events(&outcome), min_share_after_recovery(&outcome));
    let (datagrams, exchange_cores) =
        (datagrams_per_second(&steady), cores_per_router(&steady) - cores_per_router(&steady_control));
    let requirements = [
        ("rules broken or routers crashed", failures as f64, failures == 0),
        ("p99 over the floor's", p99_over_floor, p99_over_floor <= MAX_P99_OVER_FLOOR),
        ("maximum share in a second after an event", max_share, max_share <= 2.0),
        ("minimum share five seconds after the start or an outage", min_share, min_share >= MIN_SHARE),
        ("datagrams per second and router", datagrams, datagrams <= MAX_DATAGRAMS_PER_SECOND),
        ("cores per router for the peer exchange", exchange_cores, exchange_cores <= MAX_EXCHANGE_CORES),
        (
            "the control's p99 over the floor's, must exceed the limit",
            control_p99_over_floor,
            control_p99_over_floor > MAX_P99_OVER_FLOOR,
        ),
    ];
    let unmet: Vec<&str> =
        requirements.iter().filter(|(.., is_met)| !is_met).map(|(name, ..)| *name).collect();
    for (name, figure, is_met) in requirements {
        println!("{} {name}: {figure:.3}", if is_met { "kept  " } else { "BROKEN" });
    }
    println!(
        "seed {seed}: rules {failures}, p99 {p99_over_floor:.2} of the floor \
         (without peer exchange {control_p99_over_floor:.2}), maximum after events {max_share:.2}, \
         minimum {min_share:.2}, datagrams {datagrams:.2}, processor {exchange_cores:.4}; broken: {}",
        if unmet.is_empty() { "none".to_string() } else { unmet.join("; ") }
    );
    Ok(unmet.is_empty())
}

fn write_report(path: &Path, outcome: &RunOutcome, control: &RunOutcome, seed: u64) -> Result<(), String> {
    let mut page = format!(
        "<!doctype html><meta charset=utf-8><title>Load over hosts, seed {seed}</title>\n\
         <h1>Load over hosts, seed {seed}</h1>\n<p>Each line is a warm replica's reads in a second over \
         its fair share of its group's; 1 is even.</p>\n"
    );
    for (name, outcome) in [("with peer exchange", outcome), ("without peer exchange", control)] {
        page.push_str(&format!("<h2>{name}</h2>\n{}\n", plot(outcome).map_err(|e| e.to_string())?));
    }
    std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))
}

/// The relative share of each replica, second by second, as SVG; faults are shaded.
fn plot(outcome: &RunOutcome) -> Result<String, Box<dyn std::error::Error>> {
    let s = &outcome.plan.script;
    let seconds = (s.lasts_ms / 1e3) as usize;
    let mut lines: HashMap<usize, Vec<(f64, f64)>> = HashMap::new();
    for second in 0..seconds {
        let (from, until) = (second as f64 * 1e3, (second + 1) as f64 * 1e3);
        for (host, share) in report::replica_shares(&outcome.plan, &outcome.record, from, until) {
            lines.entry(host).or_default().push((second as f64, share.min(4.0)));
        }
    }
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (1_000, 360)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..4.0)?;
        chart.configure_mesh().x_desc("seconds").y_desc("relative share").draw()?;
        for fault in &s.faults {
            let (a, b) = (fault.at_ms / 1e3, (fault.at_ms + fault.for_ms.max(200.0)) / 1e3);
            if b - a < seconds as f64 * 0.8 {
                chart.draw_series([Rectangle::new([(a, 0.0), (b, 4.0)], RED.mix(0.06).filled())])?;
            }
        }
        for points in lines.into_values() {
            chart.draw_series(LineSeries::new(points, BLUE.mix(0.15)))?;
        }
        area.present()?;
    }
    Ok(svg)
}
