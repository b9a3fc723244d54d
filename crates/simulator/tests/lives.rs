//! Stories of answers that come to another life than the one that asked, and of numbers
//! that are in use again: they are dropped and counted.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Birth, NodeId, Span};
use simulator::*;

const OTHER_LIFE: &str = "answers to another life";
const UNASKED: &str = "answers nobody waits for";

/// A counter of an edge, as its readiness shows it.
fn counter(w: &mut World, edge: Addr, name: &str) -> u64 {
    let t = w.ask(edge, Want::Ready);
    match within(w, t, Span::secs(1), "readiness") {
        NodeReply::Health(h) => h.counts.iter().find(|(n, _)| *n == name).map_or(0, |(_, n)| *n),
        r => panic!("{r:?}"),
    }
}

/// Numbers around those that a life has in use, under another birth.
fn foreign(w: &World, edge: Addr) -> Vec<RequestId> {
    let life = w.procs[&edge].life;
    let own = life << 20;
    (own..own + 4000).map(|n| RequestId { birth: Birth(life + 1), n }).collect()
}

fn copy(body: &str) -> CopyReply {
    let whole = Whole::new(200, "text/plain", body.as_bytes().to_vec());
    CopyReply::Got(Box::new(TransferredCopy {
        whole,
        left: Span::secs(9),
        current_age: Span(0),
        public: true,
    }))
}

#[test]
fn given_answers_to_another_life_with_numbers_in_use_then_they_are_dropped_and_counted_at_each_hop() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 5100);
    let edge = f.edges[0];
    // Waits at its home, which is cut off; and one waits at ledgers that are.
    let path = (0..200).map(|i| format!("far-{i}")).find(|p| home(&w, edge, p) != edge).expect("has another");
    let far = home(&w, edge, &path);
    w.cut(edge, far);
    f.ledgers.iter().for_each(|l| w.cut(edge, *l));
    let before = counter(&mut w, edge, OTHER_LIFE);
    let read = w.call(edge, "read", &path);
    let paid = w.charge(edge, "sum", "k1");
    w.run(Span::ms(2));
    let ids = foreign(&w, edge);
    for ask in &ids {
        let round = RoundId { node: NodeId(101), birth: ask.birth, n: ask.n };
        w.step(edge, In::Msg(far, Msg::CopyResult { ask: *ask, said: copy("another's"), purges: 0 }));
        w.step(edge, In::Msg(far, Msg::CopyPending(*ask)));
        w.step(edge, In::Msg(f.ledgers[0], Msg::DiskCacheWant { ask: *ask, at: w.now }));
        w.step(edge, In::Msg(f.controllers[0], Msg::CallAnswered(*ask, Box::new(CallAnswer::Acknowledged))));
        for l in &f.ledgers {
            let said = Claimed::Held(Some(Whole::new(200, "text/plain", b"another's".to_vec())));
            w.step(edge, In::Msg(*l, Msg::Claimed { key: "k".into(), round, said }));
            w.step(edge, In::Msg(*l, Msg::Kept { key: "k".into(), round }));
        }
    }
    assert!(
        reply_to(&w, read).is_none() && reply_to(&w, paid).is_none(),
        "an answer to another life was taken"
    );
    let each = 4 + 2 * f.ledgers.len() as u64;
    assert_eq!(counter(&mut w, edge, OTHER_LIFE) - before, ids.len() as u64 * each);
    w.heal();
    w.run(Span::secs(2));
    assert!(is_served(&w, read), "{:?}", reply_to(&w, read));
    clean(&mut w);
}

#[test]
fn given_votes_of_ledgers_that_were_not_asked_then_no_round_leaves_by_them() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 5110);
    let edge = f.edges[0];
    f.ledgers.iter().for_each(|l| w.cut(edge, *l));
    let paid = w.charge(edge, "sum", "k1");
    w.run(Span::ms(2));
    let birth = Birth(w.procs[&edge].life);
    let before = counter(&mut w, edge, UNASKED);
    let own = birth.0 << 20;
    for n in own..own + 4000 {
        let round = RoundId { node: NodeId(101), birth, n };
        for stranger in [addr(90, 3), addr(91, 3)] {
            w.step(stranger, In::Tick);
            let vote = Msg::Claimed { key: "k".into(), round, said: Claimed::Granted };
            w.step(edge, In::Msg(stranger, vote));
        }
    }
    assert_eq!(counter(&mut w, edge, UNASKED) - before, 8000);
    w.run(Span::secs(1));
    assert!(!is_served(&w, paid), "it left by votes of strangers: {:?}", reply_to(&w, paid));
    assert_eq!(common::runs(&w, "/pay/sum"), 0);
    clean(&mut w);
}

#[test]
fn given_an_edge_restarted_with_answers_on_their_way_then_its_new_life_takes_none_of_them() {
    for seed in 5120..5126 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let edge = f.edges[seed as usize % 6];
        for i in 0..30 {
            w.call(edge, "read", &format!("red-{i}"));
            w.charge(edge, &format!("k{i}"), &format!("k{i}"));
        }
        // Answers are on their way to the old life.
        w.run(Span(900));
        w.kill(edge);
        w.start(edge);
        w.run(Span::secs(3));
        let dropped = counter(&mut w, edge, OTHER_LIFE);
        assert!(dropped > 0, "nothing was on its way, seed {seed}");
        let again: Vec<_> = (0..30).map(|i| w.charge(edge, &format!("k{i}"), &format!("k{i}"))).collect();
        w.run(Span::secs(1));
        assert!(again.iter().all(|t| step(&w, *t).is_some()));
        clean(&mut w);
    }
}

/// Routes come, go and are renamed; a caller's key is the same operation all the while.
#[test]
fn given_a_key_that_ran_when_its_route_is_replaced_by_another_of_the_host_then_it_does_not_run_again() {
    for seed in 5130..5134 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let first = w.charge(f.edges[0], "sum", "k1");
        w.run(Span::secs(1));
        assert!(is_served(&w, first), "{:?}", reply_to(&w, first));
        w.allow("pay2", "desk", u32::MAX, Span(0));
        let next = LaneEntry { prefix: "/pay/".into(), ..lane_entry("pay2", Kind::Keyed, "desk", Span(0)) };
        let gone = edit(Section::Lanes, "pay", 2, None);
        edited(&mut w, f.edges[1], vec![gone, lane_edit("pay2", 2, next)]);
        w.run(Span::secs(1));
        for g in f.edges.clone() {
            let again = w.charge(g, "sum", "k1");
            w.run(Span::secs(1));
            let step = step(&w, again);
            let record = matches!(step, Some(Step::Serve(_, AnswerSource::Record, _)));
            assert!(record, "{step:?}, seed {seed}");
        }
        assert_eq!(common::runs(&w, "/pay/sum"), 1, "seed {seed}");
        clean(&mut w);
    }
}

#[test]
fn given_two_reads_with_bodies_at_once_then_neither_gets_the_others_answer() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 5140);
    let edge = f.edges[0];
    let with = |body: &[u8]| CallerRequest {
        body: std::sync::Arc::new(body.to_vec()),
        ..hosted("GET", "read", "red-1", None)
    };
    let bodies: [&[u8]; 3] = [b"one", b"two", b"three"];
    let all: Vec<_> = bodies.iter().map(|b| w.ask(edge, Want::Request(with(b)))).collect();
    w.run(Span::secs(1));
    assert!(all.iter().all(|t| is_served(&w, *t)));
    assert_eq!(common::runs(&w, "/read/red-1"), 3, "each is asked of the origin by itself");
    clean(&mut w);
}
