//! Least-squares lines through measured points. No I/O.

/// One measurement: a size, and the value measured at that size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// A line fitted to points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// Growth of the value for each unit of size.
    pub per_unit: f64,
    /// The value at size 0.
    pub value_at_zero: f64,
    /// The largest distance of a point from the line, relative to the largest absolute value; 0 if all values
    /// are 0.
    pub max_relative_residual: f64,
}

impl Slope {
    /// The value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.value_at_zero + self.per_unit * size
    }
}

/// Why no line can be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlope {
    /// Fewer than two different sizes.
    OneSize,
    /// A size or a value is not finite.
    NotFinite,
}

/// Fits the line with the least sum of squared distances in value.
pub fn fit(points: &[Point]) -> Result<Slope, NoSlope> {
    if points.iter().any(|point| !point.size.is_finite() || !point.value.is_finite()) {
        return Err(NoSlope::NotFinite);
    }
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let size_deviation_squares: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    if size_deviation_squares <= 0.0 {
        return Err(NoSlope::OneSize);
    }
    let deviation_products: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let per_unit = deviation_products / size_deviation_squares;
    let value_at_zero = mean_value - per_unit * mean_size;
    let line = Slope { per_unit, value_at_zero, max_relative_residual: 0.0 };
    let max_residual =
        points.iter().map(|point| (point.value - line.value_at(point.size)).abs()).fold(0.0, f64::max);
    let max_abs_value = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
    let max_relative_residual = if max_abs_value > 0.0 { max_residual / max_abs_value } else { 0.0 };
    Ok(Slope { max_relative_residual, ..line })
}
