//! Writes verdicts as text lines and as an HTML page.

use super::judge::{Figure, Point, Target, Verdict};
use super::message::Phase;
use plotters::prelude::*;
use std::path::Path;

/// One test of the report.
pub struct Section<'a> {
    pub title: &'a str,
    pub verdict: &'a Verdict,
}

fn format_value(value: Option<f64>) -> String {
    match value {
        None => "not measured".into(),
        Some(value) if value.abs() >= 100.0 => format!("{value:.0}"),
        Some(value) if value.abs() >= 1.0 || value == 0.0 => format!("{value:.2}"),
        Some(value) => format!("{value:.5}"),
    }
}

fn format_target(figure: &Figure) -> String {
    match figure.target {
        None => String::new(),
        Some(Target::AtLeast(min)) => format!(" (target: at least {min})"),
        Some(Target::AtMost(max)) => format!(" (target: at most {max})"),
    }
}

fn format_result(figure: &Figure) -> &'static str {
    match (figure.target, figure.is_missed()) {
        (None, _) => "",
        (Some(_), false) => "kept",
        (Some(_), true) => "MISSED",
    }
}

/// One line per figure.
pub fn summary_lines(verdict: &Verdict) -> Vec<String> {
    let line = |figure: &Figure| {
        format!(
            "{:6} {}: {}{}",
            format_result(figure),
            figure.measure,
            format_value(figure.value),
            format_target(figure)
        )
    };
    verdict.figures.iter().map(line).collect()
}

/// Writes all sections to one HTML page.
pub fn write(to: &Path, heading: &str, sections: &[Section<'_>]) -> Result<(), String> {
    let mut page =
        format!("<!doctype html><meta charset=utf-8><title>{heading}</title>\n<h1>{heading}</h1>\n");
    for section in sections {
        page.push_str(&format!("<h2>{}</h2>\n{}", section.title, table(section.verdict)));
        page.push_str(&plot(section.verdict).map_err(|e| e.to_string())?);
    }
    std::fs::write(to, page).map_err(|e| format!("{}: {e}", to.display()))
}

fn table(verdict: &Verdict) -> String {
    let mut rows = String::new();
    for figure in &verdict.figures {
        let (value, target, result) =
            (format_value(figure.value), format_target(figure), format_result(figure));
        rows.push_str(&format!("<tr><td>{}<td>{value}<td>{target}<td>{result}\n", figure.measure));
    }
    format!("<table border=1>\n<tr><th>figure<th>value<th>target<th>\n{rows}</table>\n")
}

/// Plots the shares over time as SVG.
fn plot(verdict: &Verdict) -> Result<String, Box<dyn std::error::Error>> {
    let seconds = verdict.curve.last().map_or(1.0, |point| point.at / 1e3);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (1_000, 360)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..seconds, 0.0..1.0)?;
        chart.configure_mesh().x_desc("seconds").y_desc("share").draw()?;
        for (phase, at) in &verdict.phases {
            let line = PathElement::new([(at / 1e3, 0.0), (at / 1e3, 1.0)], BLACK.mix(0.3));
            chart.draw_series([line])?;
            if *phase != Phase::End {
                let name = Text::new(format!("{phase:?}"), (at / 1e3, 0.97), ("sans-serif", 12));
                chart.draw_series([name])?;
            }
        }
        type Share = fn(&Point) -> Option<f64>;
        let curves: [(&str, RGBColor, Share); 4] = [
            ("lost members marked dead", RED, |point| point.lost_marked_dead),
            ("live, never lost, marked dead", BLUE, |point| point.live_marked_dead),
            ("returned members marked dead", MAGENTA, |point| point.returned_marked_dead),
            ("new primaries known", GREEN, |point| point.primaries_known),
        ];
        for (name, color, share) in curves {
            let points = verdict.curve.iter().filter_map(|point| Some((point.at / 1e3, share(point)?)));
            let drawn = chart.draw_series(LineSeries::new(points, color))?;
            drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}
