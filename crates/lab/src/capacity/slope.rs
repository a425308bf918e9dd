//! Straight lines through measured points, by least squares. No I/O.

/// One measurement: a size, and what was measured at it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// A straight line through points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// Growth of the value for each unit of size.
    pub per_unit: f64,
    /// The value at size 0.
    pub at_zero: f64,
    /// The largest distance of a point from the line, as a part of the largest value; 0 where all are 0.
    pub largest_miss: f64,
}

impl Slope {
    /// What the line says of a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_zero + self.per_unit * size
    }
}

/// Why there is no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlope {
    /// Fewer than two different sizes.
    OneSize,
    /// A size or a value is no finite number.
    NotFinite,
}

/// The line with the least sum of squared distances in value.
pub fn fit(points: &[Point]) -> Result<Slope, NoSlope> {
    if points.iter().any(|p| !p.size.is_finite() || !p.value.is_finite()) {
        return Err(NoSlope::NotFinite);
    }
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    if spread <= 0.0 {
        return Err(NoSlope::OneSize);
    }
    let together: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let per_unit = together / spread;
    let at_zero = mean_value - per_unit * mean_size;
    let line = Slope { per_unit, at_zero, largest_miss: 0.0 };
    let miss = points.iter().map(|p| (p.value - line.at(p.size)).abs()).fold(0.0, f64::max);
    let largest = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max);
    let largest_miss = if largest > 0.0 { miss / largest } else { 0.0 };
    Ok(Slope { largest_miss, ..line })
}
