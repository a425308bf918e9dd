//! Tables of measurements: typed rows, printed as Markdown, and the slopes of their columns.

use super::slope::{self, Point};

/// One line of a table.
pub trait Row {
    /// The names of the columns, with their units.
    const COLUMNS: &'static [&'static str];

    /// One text for each column.
    fn cells(&self) -> Vec<String>;
}

/// The table as Markdown.
pub fn markdown<R: Row>(rows: &[R]) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let head = line(R::COLUMNS.iter().map(|name| name.to_string()).collect());
    let rule = line(R::COLUMNS.iter().map(|_| "---:".to_string()).collect());
    let body: String = rows.iter().map(|row| line(row.cells())).collect();
    [head, rule, body].concat()
}

/// One line that tells how a column grows: its slope for each unit, what stands at zero, and what the line
/// says of a target.
pub fn growth<R>(
    name: &str,
    unit: &str,
    rows: &[R],
    target: f64,
    size: impl Fn(&R) -> f64,
    value: impl Fn(&R) -> f64,
) -> String {
    let points: Vec<Point> = rows.iter().map(|row| Point { size: size(row), value: value(row) }).collect();
    match slope::fit(&points) {
        Ok(line) => format!(
            "slope of {name}: {:.6} {unit} for each, {:.4} at none, {:.4} at {target}; largest miss {:.0}%",
            line.per_unit,
            line.at_zero,
            line.at(target),
            line.largest_miss * 100.0
        ),
        Err(why) => format!("slope of {name}: none ({why:?})"),
    }
}
