//! Cost over size, as SVG.
use crate::plan::{HollowProblem, Result};
use crate::row::{grouped, Row, FIGURES};
use crate::slope::spread;
use plotters::prelude::*;

type Series = (String, Vec<(f64, f64)>);

fn series(rows: &[Row], f: fn(&Row) -> f64) -> Vec<Series> {
    let one = |((stretch, role), sizes): ((String, String), std::collections::BTreeMap<usize, Vec<&Row>>)| {
        let mid = |rs: &Vec<&Row>| spread(&rs.iter().map(|r| f(r)).collect::<Vec<_>>()).map_or(0.0, |s| s.1);
        let points = sizes.iter().map(|(n, rs)| (*n as f64, mid(rs))).filter(|(_, y)| *y > 0.0);
        (format!("{role}, {stretch}"), points.collect::<Vec<_>>())
    };
    grouped(rows).into_iter().map(one).filter(|(_, p)| !p.is_empty()).collect()
}

/// One panel for each figure, both axes by powers of ten; the middle of the runs.
pub fn plot(rows: &[Row]) -> Result<String> {
    let mut svg = String::new();
    draw(rows, &mut svg).map_err(|what| HollowProblem::Plot { what })?;
    Ok(svg)
}

fn draw(rows: &[Row], svg: &mut String) -> std::result::Result<(), String> {
    let root = SVGBackend::with_string(svg, (1100, 1200)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    let panels = root.split_evenly((3, 2));
    for ((name, f, _), area) in FIGURES.iter().zip(&panels) {
        let all = series(rows, *f);
        let points = || all.iter().flat_map(|(_, p)| p.iter());
        let edge = |v: fn(&(f64, f64)) -> f64| {
            let (low, high) = points().map(v).fold((f64::MAX, 0.0f64), |(a, b), x| (a.min(x), b.max(x)));
            (low.min(high) * 0.7)..(high * 1.5)
        };
        if points().next().is_none() {
            continue;
        }
        let mut c = ChartBuilder::on(area)
            .margin(12)
            .caption(name, ("sans-serif", 18))
            .x_label_area_size(32)
            .y_label_area_size(70)
            .build_cartesian_2d(edge(|p| p.0).log_scale(), edge(|p| p.1).log_scale())
            .map_err(|e| e.to_string())?;
        let axes = c.configure_mesh().x_desc("nodes").y_label_formatter(&|y| format!("{y:.0e}")).draw();
        axes.map_err(|e| e.to_string())?;
        for (i, (label, points)) in all.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let line = LineSeries::new(points.clone(), color.stroke_width(2)).point_size(3);
            let line = c.draw_series(line).map_err(|e| e.to_string())?;
            let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2));
            line.label(label).legend(key);
        }
        let mut labels = c.configure_series_labels();
        let labels = labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
        labels.border_style(BLACK).label_font(("sans-serif", 11)).draw().map_err(|e| e.to_string())?;
    }
    root.present().map_err(|e| e.to_string())
}
