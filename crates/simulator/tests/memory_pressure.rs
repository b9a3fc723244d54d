//! Stories of an edge whose process comes near its memory limit.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

fn press(w: &mut World, edge: Addr, pressure: MemoryPressure) {
    w.next_token += 1;
    let token = primitives::Token(w.next_token);
    w.at(Span(0), Event::Ask(edge, token, Ask::MemoryPressure(pressure)));
    w.run(Span::ms(1));
}

fn copies(w: &mut World, edge: Addr) -> u64 {
    let token = w.ask(edge, Want::Ready);
    w.run(Span::ms(5));
    let Some(NodeReply::Health(health)) = reply_to(w, token).map(|reply| reply.receipt.clone()) else {
        panic!("no health");
    };
    health.counts.iter().find(|(name, _)| *name == "copies").expect("counted").1
}

/// Guards against processes that end over their memory (LOST).
#[test]
fn given_an_edge_short_of_memory_then_it_gives_up_copies_first_and_serves_all_that_it_accepted() {
    for seed in 2750..2754 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let edge = f.edges[0];
        for page in 0..40 {
            w.call(edge, "read", &format!("red-{page}"));
        }
        w.run(Span::secs(1));
        let before = copies(&mut w, edge);
        assert!(before >= 40, "{before} copies, seed {seed}");
        press(&mut w, edge, MemoryPressure::High);
        let after = copies(&mut w, edge);
        assert!(after > 0 && after <= before / 2, "{after} of {before} copies, seed {seed}");
        let read = w.call(edge, "read", "blue-1");
        w.run(Span::secs(1));
        assert!(is_served(&w, read), "seed {seed}: {:?}", reply_to(&w, read));
        assert_eq!(copies(&mut w, edge), after, "a copy was kept, seed {seed}");

        f.desks.iter().for_each(|a| w.origins.get_mut(a).expect("an origin").work = Span::ms(500));
        let accepted = w.call(edge, "ask", "a");
        w.run(Span::ms(100));
        press(&mut w, edge, MemoryPressure::Critical);
        let denied = w.call(edge, "ask", "b");
        w.run(Span::secs(1));
        assert!(is_served(&w, accepted), "seed {seed}: {:?}", reply_to(&w, accepted));
        assert!(matches!(step(&w, denied), Some(Step::Deny(Denied::TooMany, _))), "seed {seed}");
        press(&mut w, edge, MemoryPressure::None);
        let later = w.call(edge, "ask", "c");
        w.run(Span::secs(1));
        assert!(is_served(&w, later), "seed {seed}: {:?}", reply_to(&w, later));
        clean(&mut w);
    }
}
