//! Least-squares fits of a cost against a size, and whether the cost grows like a straight line.

/// Above this relative residual a straight line does not describe the points.
const POOR_FIT: f64 = 0.10;
/// Below this relative residual a straight line describes the points whatever else would.
const EXACT_FIT: f64 = 0.01;
/// A power law is preferred to a straight line if its residual is smaller than this part of the line's.
const CLEARLY_BETTER: f64 = 0.5;
/// Exponents nearer to one than this are a straight line through the origin.
const EXPONENT_MARGIN: f64 = 0.1;

/// How a cost grows with its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Like a straight line, a constant included.
    Line,
    /// Faster than a straight line.
    Faster,
    /// Slower than a straight line.
    Slower,
    /// The points are too scattered for a verdict.
    Unclear,
}

impl std::fmt::Display for Shape {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.pad(match self {
            Shape::Line => "line",
            Shape::Faster => "faster than a line",
            Shape::Slower => "slower than a line",
            Shape::Unclear => "unclear",
        })
    }
}

/// `y = c * x^exponent`, fitted in logarithms.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct PowerLaw {
    /// `c`.
    pub factor: f64,
    /// The exponent.
    pub exponent: f64,
    /// Root mean square of the differences between the points and the curve.
    pub residual: f64,
}

impl PowerLaw {
    /// The value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.factor * x.powf(self.exponent)
    }
}

/// `y = slope * x + intercept`, and how well the points follow it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Line {
    /// The slope.
    pub slope: f64,
    /// The value at 0.
    pub intercept: f64,
    /// Root mean square of the differences between the points and the line.
    pub residual: f64,
    /// The same as a part of the mean of all values.
    pub relative_residual: f64,
    /// How the cost grows.
    pub shape: Shape,
    /// The power law that the line was compared with. `None`: some value is not positive.
    pub power_law: Option<PowerLaw>,
}

impl Line {
    /// The value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.slope * x + self.intercept
    }
}

/// Fits a straight line. `None`: fewer than two different sizes, or a value that is not finite.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let (slope, intercept) = least_squares(points)?;
    let residual = root_mean_square(points, |x| slope * x + intercept);
    let mean = points.iter().map(|(_, y)| y.abs()).sum::<f64>() / points.len() as f64;
    let relative_residual = if mean > 0.0 { residual / mean } else { 0.0 };
    let power_law = power_law(points);
    let shape = shape(points, residual, relative_residual, power_law);
    Some(Line { slope, intercept, residual, relative_residual, shape, power_law })
}

/// Fits a power law by a straight line through the logarithms. `None`: some size or value is not positive.
pub fn power_law(points: &[(f64, f64)]) -> Option<PowerLaw> {
    if points.iter().any(|(x, y)| *x <= 0.0 || *y <= 0.0) {
        return None;
    }
    let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let (exponent, log_factor) = least_squares(&logarithms)?;
    let factor = log_factor.exp();
    let residual = root_mean_square(points, |x| factor * x.powf(exponent));
    Some(PowerLaw { factor, exponent, residual })
}

/// Slope and intercept.
fn least_squares(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let together: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = together / spread;
    Some((slope, mean_y - slope * mean_x))
}

fn root_mean_square(points: &[(f64, f64)], curve: impl Fn(f64) -> f64) -> f64 {
    let squares: f64 = points.iter().map(|(x, y)| (y - curve(*x)).powi(2)).sum();
    (squares / points.len() as f64).sqrt()
}

fn shape(points: &[(f64, f64)], residual: f64, relative_residual: f64, power_law: Option<PowerLaw>) -> Shape {
    if relative_residual <= EXACT_FIT {
        return Shape::Line;
    }
    let better = power_law.filter(|law| law.residual < residual * CLEARLY_BETTER);
    match better {
        Some(law) if law.exponent > 1.0 + EXPONENT_MARGIN => Shape::Faster,
        Some(law) if law.exponent < 1.0 - EXPONENT_MARGIN => Shape::Slower,
        _ if relative_residual <= POOR_FIT => Shape::Line,
        _ => curvature(points),
    }
}

/// Points that follow no power law either: steps that only get steeper grow faster than a line, steps that only get
/// flatter slower.
fn curvature(points: &[(f64, f64)]) -> Shape {
    let means = means_by_size(points);
    let steps: Vec<f64> = means
        .windows(2)
        .map(|pair| (pair[1].0 - pair[0].0, pair[1].1 - pair[0].1))
        .map(|(x, y)| y / x)
        .collect();
    let steeper = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let flatter = steps.windows(2).all(|pair| pair[0] > pair[1]);
    match (steps.len() > 1, steeper, flatter) {
        (true, true, _) => Shape::Faster,
        (true, _, true) => Shape::Slower,
        _ => Shape::Unclear,
    }
}

/// One point for each size, in growing order.
fn means_by_size(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mean = |group: &[(f64, f64)]| {
        let sum: f64 = group.iter().map(|(_, y)| y).sum();
        (group[0].0, sum / group.len() as f64)
    };
    sorted.chunk_by(|one, other| one.0.total_cmp(&other.0).is_eq()).map(mean).collect()
}

#[cfg(test)]
mod tests;
