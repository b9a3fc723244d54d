//! All figures as a table, with the growth of each over the size.
use crate::growth::{spread, Growth};
use crate::row::Row;
use std::collections::{BTreeMap, BTreeSet};

/// What a process may use of something, by role.
#[derive(Clone, Copy)]
pub(crate) struct Allowance {
    node: f64,
    controller: f64,
}

/// Something measured.
pub(crate) struct Figure {
    pub name: &'static str,
    pub of: fn(&Row) -> f64,
    allowance: Option<Allowance>,
}

/// The figures that are fitted over the size. A node has 2.4 % of a core, 128 MB and 6 KB/s; a
/// controller has one core, for it is one actor, and of its machine, by assumption, a network
/// of 10 Gbit/s and 16 GB.
pub(crate) const FIGURES: [Figure; 5] = [
    Figure { name: "messages/s in", of: |row| row.msgs_in, allowance: None },
    Figure { name: "messages/s out", of: |row| row.msgs_out, allowance: None },
    Figure {
        name: "bytes/s in and out",
        of: |row| row.bytes_in + row.bytes_out,
        allowance: Some(Allowance { node: 6e3, controller: 1.25e9 }),
    },
    Figure {
        name: "processor us/s",
        of: |row| row.cpu_us,
        allowance: Some(Allowance { node: 24e3, controller: 1e6 }),
    },
    Figure {
        name: "memory MB",
        of: |row| row.memory / 1e6,
        allowance: Some(Allowance { node: 128.0, controller: 16e3 }),
    },
];

/// A fit below this is no clear growth.
const LEAST_FIT: f64 = 0.9;
/// The size for which the question asks.
const TARGET_NODES: f64 = 7100.0;

/// Rows by size.
pub(crate) type BySize<'a> = BTreeMap<usize, Vec<&'a Row>>;

/// Rows by phase and role, and within by size.
pub(crate) fn grouped(rows: &[Row]) -> BTreeMap<(String, String), BySize<'_>> {
    let mut groups: BTreeMap<(String, String), BySize> = BTreeMap::new();
    for row in rows {
        let group = groups.entry((row.phase.clone(), row.role.clone())).or_default();
        group.entry(row.nodes).or_default().push(row);
    }
    groups
}

/// Each figure at each size as least / median / most over the runs, and its growth.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    for ((phase, role), sizes) in grouped(rows) {
        text += &format!("\n{phase}, {role}\n");
        let of_phase = rows.iter().filter(|row| row.phase == phase);
        let has_traffic = of_phase.into_iter().any(|row| row.msgs_in > 0.0);
        for figure in &FIGURES {
            text += &figure_line(figure, &role, &sizes, has_traffic);
        }
        sizes.iter().for_each(|(nodes, rows)| text += &changes_line(*nodes, rows));
    }
    let sizes: BTreeSet<usize> = rows.iter().map(|row| row.nodes).collect();
    let units = "figures per process and virtual second, least / middle / most of the runs";
    text + &format!("\nsizes: {sizes:?}; {units}\n")
}

/// Nothing for a figure that was not measured. Allowances are for phases with traffic.
fn figure_line(figure: &Figure, role: &str, sizes: &BySize, has_traffic: bool) -> String {
    let of = figure.of;
    let points = sizes.iter().flat_map(|(nodes, rows)| rows.iter().map(|row| (*nodes as f64, of(row))));
    let points: Vec<(f64, f64)> = points.collect();
    if !points.iter().any(|(_, value)| *value > 0.0) {
        return String::new();
    }
    let cell = |(nodes, rows): (&usize, &Vec<&Row>)| {
        let values: Vec<f64> = rows.iter().map(|row| of(row)).collect();
        let (least, median, most) = spread(&values).unwrap_or_default();
        format!("{nodes}: {least:.1} / {median:.1} / {most:.1}")
    };
    let cells: Vec<String> = sizes.iter().map(cell).collect();
    let allowance = figure.allowance.filter(|_| has_traffic);
    let allowance = allowance.map(|all| if role == "controller" { all.controller } else { all.node });
    let growth = Growth::of(&points).map_or(String::new(), |growth| growth_line(growth, allowance));
    format!("  {:<20} {}{growth}\n", figure.name, cells.join("   "))
}

/// Nothing for a phase without changes.
fn changes_line(nodes: usize, rows: &[&Row]) -> String {
    let sum = |f: fn(&Row) -> usize| rows.iter().map(|row| f(row)).sum::<usize>();
    let most = |f: fn(&Row) -> f64| rows.iter().map(|row| f(row)).fold(0.0, f64::max);
    let asked = sum(|row| row.asked);
    if asked == 0 {
        return String::new();
    }
    let (missing, refused) = (sum(|row| row.missing), sum(|row| row.refused));
    let (last, last_most) = (most(|row| row.last_ms), most(|row| row.last_ms_most));
    let (force, force_most) = (most(|row| row.force_ms), most(|row| row.force_ms_most));
    let counts = format!("asked {asked}, missing {missing}, refused {refused}");
    let last = format!("last node {last:.0} ms (slowest {last_most:.0})");
    let force = format!("in force {force:.0} ms (slowest {force_most:.0})");
    format!("  {nodes} nodes: {counts}; {last}, {force}\n")
}

fn growth_line(growth: Growth, allowance: Option<f64>) -> String {
    let line = growth.line();
    if line.fit < LEAST_FIT {
        return format!("\n      no clear growth (R2 {:.2})", line.fit);
    }
    let by = if matches!(growth, Growth::Square(_)) { "nodes^2" } else { "nodes" };
    let passes = allowance.map_or(String::new(), |allowance| passes_text(growth, allowance));
    let formula = format!("{:.4e} * {by} + {:.4e} (R2 {:.4})", line.slope, line.intercept, line.fit);
    let target = format!("at {TARGET_NODES}: {:.4e}", growth.at(TARGET_NODES));
    format!("\n      = {formula}; {target}; {passes}")
}

fn passes_text(growth: Growth, allowance: f64) -> String {
    match growth.passes(allowance) {
        Some(nodes) => format!("passes {allowance:.1e} at {nodes:.0} nodes"),
        None if growth.at(0.0) > allowance => format!("above {allowance:.1e} at any size"),
        None => format!("never passes {allowance:.1e}"),
    }
}
