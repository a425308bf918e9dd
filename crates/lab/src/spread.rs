//! The proof that load is spread evenly although each router sees little: hundreds of router processes with the script's
//! faults, told one another and not, and what one router that sees everything would have done with the same reads.

use crate::tier::record::{Record, Seen};
use crate::tier::report::{self, WINDOW_MS};
use crate::tier::runner::{self, Environment, RunOutcome};
use crate::tier::script::{Script, What, random_unit};
use plotters::prelude::*;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::path::Path;

/// The script of the proof; the seed is the caller's.
const SCRIPT: &str = include_str!("../scripts/spread.toml");

/// What is promised: the 99th percentile of a warm host's part against the floor's, what a healthy host gets at least of
/// its part, datagrams a second and router in the steady state, and the processor time that the tier takes.
const P99_OVER_FLOOR: f64 = 1.25;
const LEAST: f64 = 0.5;
const DATAGRAMS: f64 = 2.0;
const PROCESSOR: f64 = 0.02;
/// The steady state is measured without faults, once everybody has told what there was to tell.
const STEADY_FROM_MS: f64 = 10_000.0;
const STEADY_MS: f64 = 18_000.0;

/// Who chooses, for the same reads at the same times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Chooser {
    /// One that sees everything: the replica with the least done for its size.
    Floor,
    /// Each router by itself.
    RoundRobin,
    Random,
    /// The less busy of two, as one that sees everything would know them.
    TwoChoices,
}

/// Parts of replicas' reads, as [`report::outcome_share_stats`] counts them, had this one chosen.
pub fn chosen(played: &RunOutcome, chooser: Chooser, from: f64, until: f64) -> report::ShareStats {
    let (plan, s) = (&played.plan, &played.plan.script);
    let mut chance = s.rng(900);
    let mut done: HashMap<usize, f64> = HashMap::new();
    let mut turns: HashMap<(u32, usize), usize> = HashMap::new();
    let mut record = Record::new();
    let mut window = usize::MAX;
    let mut there: HashMap<usize, Vec<usize>> = HashMap::new();
    for (at, seen) in &played.record {
        let Seen::Got { op, host, router } = *seen else { continue };
        if !(from..until).contains(at) {
            continue;
        }
        let now = ((at - from) / WINDOW_MS) as usize;
        if now != window {
            // Counted by windows, and chosen by windows: what was done before does not burden a host.
            (window, there) = (now, HashMap::new());
            done.clear();
        }
        let group = s.group_of(host as usize);
        let start = from + now as f64 * WINDOW_MS;
        let replicas = there.entry(group).or_insert_with(|| report::warm_replicas(plan, group, start));
        if !replicas.contains(&(host as usize)) {
            // A primary's, or a cold host's: not what is compared.
            record.push((*at, *seen));
            continue;
        }
        let busy = |h: &usize| done.get(h).copied().unwrap_or(0.0) / s.size(*h);
        let one = |chance: &mut ChaCha8Rng| replicas[(random_unit(chance) * replicas.len() as f64) as usize];
        let to = match chooser {
            Chooser::Floor => {
                replicas.iter().copied().min_by(|a, b| busy(a).total_cmp(&busy(b))).unwrap_or(0)
            }
            Chooser::Random => one(&mut chance),
            Chooser::TwoChoices => {
                let (a, b) = (one(&mut chance), one(&mut chance));
                if busy(&a) <= busy(&b) { a } else { b }
            }
            Chooser::RoundRobin => {
                let turn = turns
                    .entry((router, group))
                    .or_insert_with(|| (random_unit(&mut chance) * 64.0) as usize);
                *turn += 1;
                replicas[*turn % replicas.len()]
            }
        };
        *done.entry(to).or_default() += 1.0;
        record.push((*at, Seen::Got { op, host: to as u32, router }));
    }
    report::share_stats(plan, &record, from, until)
}

/// The most that a warm replica got, in any second after an event, over its part.
fn after_events(played: &RunOutcome) -> f64 {
    let s = &played.plan.script;
    let ends = s.faults.iter().flat_map(|f| [f.at_ms, f.at_ms + f.for_ms]);
    let during = ends.filter(|at| (1.0..s.lasts_ms - 1_000.0).contains(at));
    during
        .map(|at| {
            report::share_stats_with_window(&played.plan, &played.record, at, at + 1_000.0, 1_000.0).max
        })
        .fold(0.0, f64::max)
}

/// The least that a replica got of its part in two seconds that began five seconds after it became healthy and warm.
fn idle(played: &RunOutcome) -> f64 {
    let s = &played.plan.script;
    let cold = s.host.cold_ms;
    let healed = s.faults.iter().filter(|f| matches!(f.what, What::CutZone { .. } | What::Crash { .. }));
    let from: Vec<f64> = healed.map(|f| f.at_ms + f.for_ms + 5_000.0).chain([5_000.0]).collect();
    let in_time = from.into_iter().filter(|at| at + WINDOW_MS < s.lasts_ms && *at > 0.0 && cold > 0.0);
    in_time
        .map(|at| {
            report::share_stats_with_window(&played.plan, &played.record, at, at + WINDOW_MS, WINDOW_MS).min
        })
        .fold(1.0, f64::min)
}

/// Datagrams a second and router in the last part of a play.
fn steady(played: &RunOutcome) -> f64 {
    let (from, until) = (STEADY_FROM_MS, played.plan.ends_at());
    let told =
        played.record.iter().filter(|(at, _)| (from..until).contains(at)).filter_map(
            |(_, seen)| match seen {
                Seen::Peers { datagrams, .. } => Some(f64::from(*datagrams)),
                _ => None,
            },
        );
    told.sum::<f64>() / played.plan.script.routers as f64 / ((until - from) / 1e3)
}

fn processor(played: &RunOutcome) -> f64 {
    played.processor_ms.iter().sum::<f64>() / played.plan.script.routers as f64 / played.plan.ends_at()
}

/// Plays all, prints the figures, writes the report; true where every promise was kept and the control broke one.
pub fn prove(
    stage: &Environment,
    seed: u64,
    routers: Option<usize>,
    html: Option<&Path>,
) -> Result<bool, String> {
    let mut script = Script::from_toml(SCRIPT)?;
    script.seed = seed;
    if let Some(routers) = routers {
        let part = routers as f64 / script.routers as f64;
        script.load.ops *= part;
        script.host.read_ms /= part;
        script.host.write_ms /= part;
        script.routers = routers;
    }
    let play = |name: &str, script: Script| {
        println!(
            "{name}: {} routers, {} hosts, {:.0} s",
            script.routers,
            script.hosts,
            script.lasts_ms / 1e3
        );
        let played = runner::run(script, stage)?;
        report::summary_lines(&played).iter().for_each(|line| println!("  {line}"));
        Ok::<RunOutcome, String>(played)
    };
    let quiet = Script { faults: Vec::new(), lasts_ms: STEADY_MS, ..script.clone() };
    let alone = Script { tier: None, ..script.clone() };
    let steady_on = play("told one another, no faults", quiet.clone())?;
    let steady_off = play("alone, no faults", Script { tier: None, ..quiet })?;
    let on = play("told one another", script)?;
    let off = play("alone: the control", alone)?;
    let (from, until) = (0.0, on.plan.script.lasts_ms);
    println!("parts of warm replicas in windows of two seconds: p99, median, least");
    let show = |name: &str, e: report::ShareStats| {
        println!("  {name}: {:.2} {:.2} {:.2} of {}", e.p99, e.median, e.min, e.count)
    };
    let floor = chosen(&on, Chooser::Floor, from, until);
    let (mine, control) =
        (report::outcome_share_stats(&on, from, until), report::outcome_share_stats(&off, from, until));
    show("told one another", mine);
    show("alone", control);
    show("one that sees everything: the floor", floor);
    for (name, chooser) in [
        ("round robin", Chooser::RoundRobin),
        ("random", Chooser::Random),
        ("two choices", Chooser::TwoChoices),
    ] {
        show(name, chosen(&on, chooser, from, until));
    }
    if let Some(html) = html {
        write_report(html, &on, &off, seed)?;
        println!("report: {}", html.display());
    }
    let rules = on.verdict.breaches.len() + on.crashed.len();
    let (over, control) = (mine.p99 / floor.p99, control.p99 / floor.p99);
    let (herd, least) = (after_events(&on), idle(&on));
    let (datagrams, cost) = (steady(&steady_on), processor(&steady_on) - processor(&steady_off));
    let promises = [
        ("rules broken or crashed", rules as f64, rules == 0),
        ("p99 over the floor's", over, over <= P99_OVER_FLOOR),
        ("the most in a second after an event", herd, herd <= 2.0),
        ("the least of its part five seconds after", least, least >= LEAST),
        ("datagrams a second and router", datagrams, datagrams <= DATAGRAMS),
        ("of a core a router", cost, cost <= PROCESSOR),
        (
            "the control's p99 over the floor's, must be more than is promised",
            control,
            control > P99_OVER_FLOOR,
        ),
    ];
    let broken: Vec<&str> = promises.iter().filter(|(.., kept)| !kept).map(|(name, ..)| *name).collect();
    for (name, figure, kept) in promises {
        println!("{} {name}: {figure:.3}", if kept { "kept  " } else { "BROKEN" });
    }
    println!(
        "seed {seed}: rules {rules}, p99 {over:.2} of the floor (alone {control:.2}), after events {herd:.2}, least \
         {least:.2}, datagrams {datagrams:.2}, processor {cost:.4}; broken: {}",
        if broken.is_empty() { "none".to_string() } else { broken.join("; ") }
    );
    Ok(broken.is_empty())
}

fn write_report(to: &Path, on: &RunOutcome, off: &RunOutcome, seed: u64) -> Result<(), String> {
    let mut page = format!(
        "<!doctype html><meta charset=utf-8><title>Load over hosts, seed {seed}</title>\n\
         <h1>Load over hosts, seed {seed}</h1>\n<p>Each line is a warm replica's reads in a second over its part of its \
         group's; 1 is even.</p>\n"
    );
    for (name, played) in [("told one another", on), ("alone", off)] {
        page.push_str(&format!("<h2>{name}</h2>\n{}\n", plot(played).map_err(|e| e.to_string())?));
    }
    std::fs::write(to, page).map_err(|e| format!("{}: {e}", to.display()))
}

fn plot(played: &RunOutcome) -> Result<String, Box<dyn std::error::Error>> {
    let s = &played.plan.script;
    let seconds = (s.lasts_ms / 1e3) as usize;
    let mut lines: HashMap<usize, Vec<(f64, f64)>> = HashMap::new();
    for second in 0..seconds {
        let (from, until) = (second as f64 * 1e3, (second + 1) as f64 * 1e3);
        for (host, part) in report::replica_shares(&played.plan, &played.record, from, until) {
            lines.entry(host).or_default().push((second as f64, part.min(4.0)));
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
        chart.configure_mesh().x_desc("seconds").y_desc("part").draw()?;
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
