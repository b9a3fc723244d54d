//! Cost over size, as SVG: one panel for each figure, both axes logarithmic.
use crate::growth::spread;
use crate::plan::{Result, ScaleModelError};
use crate::row::Row;
use crate::table::{grouped, BySize, Figure, FIGURES};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::ops::Range;

const SIZE: (u32, u32) = (1100, 1200);
const PANELS: (usize, usize) = (3, 2);
const FONT: &str = "sans-serif";
const LEGEND_TOP: i32 = 40;
const LEGEND_STEP: i32 = 24;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = std::result::Result<(), Box<dyn Error>>;

/// The medians of a figure over the size, of one role in one phase.
struct Series {
    label: String,
    points: Vec<(f64, f64)>,
}

fn label((phase, role): &(String, String)) -> String {
    format!("{role}, {phase}")
}

fn median(rows: &[&Row], figure: fn(&Row) -> f64) -> f64 {
    let values: Vec<f64> = rows.iter().map(|row| figure(row)).collect();
    spread(&values).map_or(0.0, |(_, median, _)| median)
}

fn series(rows: &[Row], figure: fn(&Row) -> f64) -> Vec<Series> {
    let points = |sizes: &BySize| {
        let all = sizes.iter().map(|(nodes, rows)| (*nodes as f64, median(rows, figure)));
        all.filter(|(_, value)| *value > 0.0).collect()
    };
    let groups = grouped(rows);
    let all = groups.iter().map(|(group, sizes)| Series { label: label(group), points: points(sizes) });
    all.filter(|series| !series.points.is_empty()).collect()
}

fn labels(rows: &[Row]) -> Vec<String> {
    grouped(rows).keys().map(label).collect()
}

/// The same for a label in every panel.
fn color(rows: &[Row], label: &str) -> RGBAColor {
    let number = labels(rows).iter().position(|other| other == label).unwrap_or(0);
    Palette99::pick(number).to_rgba()
}

/// Plots the medians of all figures.
pub fn plot(rows: &[Row]) -> Result<String> {
    let mut svg = String::new();
    draw(rows, &mut svg).map_err(|error| ScaleModelError::Plot { what: error.to_string() })?;
    Ok(svg)
}

fn draw(rows: &[Row], svg: &mut String) -> Drawn {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly(PANELS);
    for (figure, area) in FIGURES.iter().zip(&panels) {
        draw_panel(rows, figure, area)?;
    }
    draw_legend(rows, &panels[FIGURES.len()])?;
    root.present()?;
    Ok(())
}

/// A range that holds all values with some space around them.
fn range(values: impl Iterator<Item = f64>) -> Range<f64> {
    let bounds = |(low, high): (f64, f64), value: f64| (low.min(value), high.max(value));
    let (low, high) = values.fold((f64::MAX, 0.0), bounds);
    (low.min(high) * 0.7)..(high * 1.5)
}

fn draw_panel(rows: &[Row], figure: &Figure, area: &Area) -> Drawn {
    let all = series(rows, figure.of);
    if all.is_empty() {
        return Ok(());
    }
    let points = || all.iter().flat_map(|series| series.points.iter());
    let (sizes, costs) = (range(points().map(|(x, _)| *x)), range(points().map(|(_, y)| *y)));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .caption(figure.name, (FONT, 18))
        .x_label_area_size(32)
        .y_label_area_size(70)
        .build_cartesian_2d(sizes.log_scale(), costs.log_scale())?;
    chart
        .configure_mesh()
        .max_light_lines(0)
        .x_desc("nodes")
        .y_label_formatter(&|cost| format!("{cost:.0e}"))
        .draw()?;
    for series in &all {
        let style = color(rows, &series.label).stroke_width(2);
        chart.draw_series(LineSeries::new(series.points.clone(), style).point_size(3))?;
    }
    Ok(())
}

/// Which line is whose.
fn draw_legend(rows: &[Row], area: &Area) -> Drawn {
    for (i, label) in labels(rows).into_iter().enumerate() {
        let top = LEGEND_TOP + LEGEND_STEP * i as i32;
        let style = color(rows, &label).filled();
        area.draw(&Rectangle::new([(40, top), (70, top + 8)], style))?;
        area.draw(&Text::new(label, (84, top - 4), (FONT, 16).into_font()))?;
    }
    Ok(())
}
