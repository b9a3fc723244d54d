//! Stories of copies that pass through several edges: on no way does one live longer.
mod common;
#[path = "common/open.rs"]
mod open;
use control_state::*;
use open::*;
use primitives::Span;
use simulator::*;

/// As the fleet's lane has it.
const LIFETIME: Span = Span::secs(5);
/// An answer that was decided on may still leave for so long.
const DELIVERY_MARGIN: Span = Span::secs(1);

#[test]
fn given_a_copy_that_its_home_renewed_then_nobody_further_on_may_serve_it_for_longer() {
    for seed in 5000..5004 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let page = homed(&w, f.edges[0], "red", 1).remove(0);
        for edge in &f.edges {
            w.call(*edge, "read", &page);
        }
        w.run(LIFETIME + Span::secs(1));
        for edge in &f.edges[1..] {
            let token = w.call(*edge, "read", &page);
            w.run(Span::ms(400));
            let seen = reply_to(&w, token).expect("was answered");
            let NodeReply::Step(Step::Serve(_, AnswerSource::Copy(_), by)) = &seen.receipt else {
                panic!("{edge} was not served a copy, seed {seed}: {seen:?}");
            };
            let longest = *by - w.procs[edge].clock(seen.answered);
            println!("seed {seed}, {edge}: may leave for {} ms", longest.as_ms());
            assert!(longest <= LIFETIME + DELIVERY_MARGIN, "{} ms at {edge}, seed {seed}", longest.as_ms());
        }
        assert!(count(&w, "unchanged") > 0, "nothing was renewed, seed {seed}");
        common::clean(&mut w);
    }
}
