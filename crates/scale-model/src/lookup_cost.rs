//! What finding an object's home costs an edge: the ranking that edges make, over as many
//! edges. It belongs to requests, not to control, and grows with the fleet all the same.
use crate::meter::*;
use crate::plan::*;
use crate::row::Row;

const LOOKUPS: u64 = 400;
const NANOS_PER_MICRO: f64 = 1000.0;

/// One row, whose processor time is that of one lookup in microseconds.
pub fn lookups(plan: &Plan) -> Result<Row> {
    plan.check(Plan::limit())?;
    let meter = Meter::new()?;
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let edges: Vec<u64> = (0..plan.edges() as u64).collect();
    let lookup = |_| {
        let object = format!("objects/{:012x}", rng.u64(0..1 << 48));
        let rank = || primitives::rank(&("service", "lane", &object), &edges, |edge| *edge);
        let (_, cost) = meter.of(|| std::hint::black_box(rank()));
        cost as f64 / NANOS_PER_MICRO
    };
    let costs: Vec<f64> = (0..LOOKUPS).map(lookup).collect();
    Ok(Row {
        phase: "one home lookup".into(),
        role: "edge".into(),
        seed: plan.seed,
        secs: 1,
        nodes: plan.nodes,
        whole: 1,
        origins: plan.origins(),
        services: plan.services(),
        cpu_us: costs.iter().sum::<f64>() / costs.len() as f64,
        cpu_us_most: costs.iter().copied().fold(0.0, f64::max),
        ..Row::default()
    })
}
