//! How a cost grows with the size: lines through measured points, by least squares.

/// With fewer different sizes there is no slope.
const LEAST_SIZES: usize = 3;

/// `y = slope * x + intercept`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Its slope.
    pub slope: f64,
    /// Its value at zero.
    pub intercept: f64,
    /// The coefficient of determination (R2): the part of the variance that it explains, at
    /// most 1.
    pub fit: f64,
}

impl Line {
    /// The line through points `(x, y)`; `None` if there are fewer than three different `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let mut sizes: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < LEAST_SIZES {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_yy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = sum_xy / sum_xx;
        let fit = if sum_yy > 0.0 { sum_xy * sum_xy / (sum_xx * sum_yy) } else { 1.0 };
        Some(Line { slope, intercept: mean_y - slope * mean_x, fit })
    }

    /// The positive `x` at which a rising line reaches `y`, if there is one.
    pub fn reaches(&self, y: f64) -> Option<f64> {
        let x = (y - self.intercept) / self.slope;
        (self.slope > 0.0).then_some(x).filter(|x| *x > 0.0)
    }
}

/// How a cost grows with the number of nodes, whichever of the two explains more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// Linearly.
    Linear(Line),
    /// With the square, as where origins grow with the nodes; the line is over the square.
    Square(Line),
}

impl Growth {
    /// The growth through points `(nodes, cost)`; `None` if there are fewer than three sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Growth> {
        let squares: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x * x, *y)).collect();
        let (linear, square) = (Line::through(points)?, Line::through(&squares)?);
        Some(if square.fit > linear.fit { Growth::Square(square) } else { Growth::Linear(linear) })
    }

    /// The line, over the nodes or over their square.
    pub fn line(&self) -> Line {
        match self {
            Growth::Linear(line) | Growth::Square(line) => *line,
        }
    }

    /// The cost at a number of nodes.
    pub fn at(&self, nodes: f64) -> f64 {
        let x = if matches!(self, Growth::Square(_)) { nodes * nodes } else { nodes };
        self.line().slope * x + self.line().intercept
    }

    /// The number of nodes at which the cost passes an allowance.
    pub fn passes(&self, allowance: f64) -> Option<f64> {
        let x = self.line().reaches(allowance)?;
        Some(if matches!(self, Growth::Square(_)) { x.sqrt() } else { x })
    }
}

/// Least, median and greatest.
pub(crate) type Spread = (f64, f64, f64);

/// Least, median and greatest of some values; the median of two is the lower.
pub fn spread(values: &[f64]) -> Option<(f64, f64, f64)> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    Some((*sorted.first()?, sorted[(sorted.len() - 1) / 2], *sorted.last()?))
}
