//! Tables of measurements, printed as Markdown, and the slopes of their columns.

use super::slope::{self, Point};

/// One row of a table.
pub trait Row {
    /// Column heads, with units.
    const COLUMNS: &'static [&'static str];

    /// The text of each column.
    fn cells(&self) -> Vec<String>;
}

/// Formats rows as a Markdown table.
pub fn markdown_table<R: Row>(rows: &[R]) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let head = line(R::COLUMNS.iter().map(|name| name.to_string()).collect());
    let rule = line(R::COLUMNS.iter().map(|_| "---:".to_string()).collect());
    let body: String = rows.iter().map(|row| line(row.cells())).collect();
    [head, rule, body].concat()
}

/// Describes in one line of text how a column grows with the size: the slope per unit of size, and the values
/// of the fitted line at zero and at `target`.
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
            line.value_at_zero,
            line.value_at(target),
            line.max_relative_residual * 100.0
        ),
        Err(why) => format!("slope of {name}: none ({why:?})"),
    }
}
