//! Straight lines through measured points.

/// `y = slope * x + intercept`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// The part of the spread that the line explains; 1 is all of it.
    pub fit: f64,
}

impl Line {
    /// None from fewer than three different sizes: two points are no slope.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let mut xs: Vec<f64> = points.iter().map(|p| p.0).collect();
        xs.sort_by(f64::total_cmp);
        xs.dedup();
        let n = points.len() as f64;
        let (mx, my) =
            (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
        let sxy: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
        let sxx: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
        let syy: f64 = points.iter().map(|(_, y)| (y - my).powi(2)).sum();
        (xs.len() >= 3).then(|| {
            let slope = sxy / sxx;
            let fit = if syy > 0.0 { sxy * sxy / (sxx * syy) } else { 1.0 };
            Line { slope, intercept: my - slope * mx, fit }
        })
    }

    /// Where it reaches `y`; none if it never does above nought.
    pub fn reaches(&self, y: f64) -> Option<f64> {
        let x = (y - self.intercept) / self.slope;
        (self.slope > 0.0).then_some(x).filter(|x| *x > 0.0)
    }
}

/// How a cost grows with the size, whichever of the two explains more of the spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// By the nodes.
    Linear(Line),
    /// By the nodes' square, as where origins grow with the nodes.
    Square(Line),
}

impl Growth {
    pub fn of(points: &[(f64, f64)]) -> Option<Growth> {
        let square: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x * x, *y)).collect();
        let (l, s) = (Line::through(points)?, Line::through(&square)?);
        Some(if s.fit > l.fit { Growth::Square(s) } else { Growth::Linear(l) })
    }

    pub fn line(&self) -> Line {
        match self {
            Growth::Linear(l) | Growth::Square(l) => *l,
        }
    }

    pub fn at(&self, nodes: f64) -> f64 {
        let x = if matches!(self, Growth::Square(_)) { nodes * nodes } else { nodes };
        self.line().slope * x + self.line().intercept
    }

    /// The number of nodes at which it passes an allowance.
    pub fn passes(&self, allowance: f64) -> Option<f64> {
        let x = self.line().reaches(allowance)?;
        Some(if matches!(self, Growth::Square(_)) { x.sqrt() } else { x })
    }
}

/// Least, middle and most of some values; the middle of two is the lower.
pub fn spread(values: &[f64]) -> Option<(f64, f64, f64)> {
    let mut v = values.to_vec();
    v.sort_by(f64::total_cmp);
    Some((*v.first()?, v[(v.len() - 1) / 2], *v.last()?))
}
