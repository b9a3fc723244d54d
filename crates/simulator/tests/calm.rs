//! A calm fleet at a deployment's own rate and ceilings, from cold.
mod common;
use common::*;
use control_state::*;
use primitives::Span;
use simulator::*;

#[test]
fn given_a_calm_fleet_from_cold_at_its_own_rate_then_nothing_is_denied() {
    for seed in 0..8u64 {
        let (plan, rate) = if seed % 2 == 0 { (Plan::trinacria(), 375) } else { (Plan::bersatu(), 750) };
        let (mut w, f) = World::running_fleet(Plan { edges: 13, ..plan }, 900 + seed);
        // As shipped: documents at 120 a second for 90 objects, 375 requests a second.
        let c = 120 * rate as u32 / 375;
        w.allow("read", "pages", c, Span::secs(5));
        w.set_row(f.controllers[0], "as-shipped", "read", "pages", 1, row(c, Kind::Read, Span::secs(5)));
        w.run(Span::secs(2));
        let since = w.now;
        for i in 0..rate * 8 {
            let g = f.edges[w.rng.usize(0..13)];
            let (n, o) = (w.rng.u64(0..100), (w.rng.f64().powi(3) * 90.0) as u64);
            w.later(Span(i * 1_000_000 / rate), move |w| {
                match n {
                    0..=74 => w.get(g, "read", &format!("o{o}")),
                    75..=89 => w.get(g, "ask", &format!("a{i}")),
                    _ => w.post(g, "pay", "sum", Some(&format!("k{i}"))),
                };
            });
        }
        w.run(Span::secs(10));
        let (ok, n) = lately(&w, since);
        let odd: Vec<String> = w
            .steps()
            .filter(|(s, x)| s.asked >= since && !matches!(x, Step::Serve(..)))
            .map(|(s, x)| format!("{x:?} at {} ms", (s.asked - since).as_ms()))
            .collect();
        // Nobody is left with a decision that ends while it is on its way out.
        let brief = w
            .steps()
            .filter(|(s, x)| {
                let clock = w.procs[&s.at].clock(s.answered);
                matches!(x, Step::Serve(_, _, until) if *until - clock < Span::ms(200))
            })
            .count();
        assert_eq!(brief, 0, "so many answers were about to be too old");
        println!("{ok} of {n}; {odd:?}");
        assert_eq!(ok, n, "{odd:?}");
        clean(&mut w);
    }
}
