//! Stories of readings under way while one era of the agreement follows another.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::Span;
use simulator::*;

/// Commands of an era, so few that eras follow one another all the time.
const ERA: usize = 6;
const READINGS: u64 = 120;

#[test]
fn given_eras_that_end_while_a_controller_is_read_then_every_reading_is_answered() {
    for seed in 4700..4706 {
        let (mut w, f) = World::running_open_fleet(Plan { cut_at: ERA, ..Plan::open() }, seed);
        let before = w.controller(f.controllers[0]).expect("is up").state().era;
        let mut asked = vec![];
        for n in 0..READINGS {
            let name = format!("e{n}");
            let body = Some(Body::Service(service_entry(Some(n))));
            w.edit(f.edges[n as usize % 6], vec![edit(Section::Services, &name, 1, body)]);
            let after = Span(w.rng.u64(0..12_000));
            w.run(after);
            asked.push(w.ask(f.controllers[n as usize % 4], Want::Table));
            w.run(Span::ms(15));
        }
        w.run(Span::secs(2));
        let eras = w.controller(f.controllers[0]).expect("is up").state().era.0 - before.0;
        assert!(eras > 10, "seed {seed}: {eras} eras only");
        for t in asked {
            let receipt = reply_to(&w, t).map(|s| s.receipt.clone());
            assert!(matches!(receipt, Some(NodeReply::Table(..))), "seed {seed}: {receipt:?}");
        }
        clean(&mut w);
    }
}
