//! Cost over size, as SVG.
use crate::plan::{Result, ScaleModelProblem};
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

fn labels(rows: &[Row]) -> Vec<String> {
    grouped(rows).into_keys().map(|(stretch, role)| format!("{role}, {stretch}")).collect()
}

/// The same in every panel.
fn color(rows: &[Row], label: &str) -> RGBAColor {
    Palette99::pick(labels(rows).iter().position(|l| l == label).unwrap_or(0)).to_rgba()
}

/// One panel for each figure, both axes by powers of ten; the middle of the runs.
pub fn plot(rows: &[Row]) -> Result<String> {
    let mut svg = String::new();
    draw(rows, &mut svg).map_err(|what| ScaleModelProblem::Plot { what })?;
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
        let axes = c
            .configure_mesh()
            .max_light_lines(0)
            .x_desc("nodes")
            .y_label_formatter(&|y| format!("{y:.0e}"))
            .draw();
        axes.map_err(|e| e.to_string())?;
        for (label, points) in &all {
            let line = LineSeries::new(points.clone(), color(rows, label).stroke_width(2)).point_size(3);
            c.draw_series(line).map_err(|e| e.to_string())?;
        }
    }
    // The panel that no figure takes says which line is whose.
    for (i, label) in labels(rows).iter().enumerate() {
        let (y, style) = (40 + 24 * i as i32, ("sans-serif", 16).into_font());
        let mark = Rectangle::new([(40, y), (70, y + 8)], color(rows, label).filled());
        panels[FIGURES.len()].draw(&mark).map_err(|e| e.to_string())?;
        let name = Text::new(label.clone(), (84, y - 4), style);
        panels[FIGURES.len()].draw(&name).map_err(|e| e.to_string())?;
    }
    root.present().map_err(|e| e.to_string())
}
