//! What naming an object's home costs an edge: the same ranking that edges make, over as
//! many edges. It is the path of requests, no control; it grows with the fleet all the same.
use crate::meter::*;
use crate::plan::*;
use crate::row::Row;

const LOOKUPS: u64 = 400;

/// One row, whose processor time is that of one lookup in microseconds.
pub fn lookups(p: &Plan) -> Result<Row> {
    p.check(Plan::limit())?;
    let meter = Meter::new()?;
    let mut rng = fastrand::Rng::with_seed(p.seed);
    let edges: Vec<u64> = (0..p.edges() as u64).collect();
    let cost = (0..LOOKUPS).map(|_| {
        let object = format!("objects/{:012x}", rng.u64(0..1 << 48));
        let ranked = || std::hint::black_box(primitives::rank(&("service", "lane", &object), &edges, |g| *g));
        meter.of(ranked).1 as f64 / 1000.0
    });
    let all: Vec<f64> = cost.collect();
    Ok(Row {
        stretch: "one home lookup".into(),
        role: "edge".into(),
        seed: p.seed,
        secs: 1,
        nodes: p.nodes,
        whole: 1,
        origins: p.origins(),
        services: p.services(),
        cpu_us: all.iter().sum::<f64>() / all.len() as f64,
        cpu_us_most: all.iter().copied().fold(0.0, f64::max),
        ..Row::default()
    })
}
