//! Stories of controllers that are replaced, wiped, cut off and told to leave, in a
//! deployment that nobody counted.
mod common;
#[path = "common/open.rs"]
mod open;
use common::*;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token};
use simulator::*;
use std::cell::RefCell;
use std::rc::Rc;

fn machine(m: u8) -> [Addr; 3] {
    [addr(m, 1), addr(m, 2), addr(m, 3)]
}

fn kill_machine(w: &mut World, m: u8) {
    machine(m).into_iter().for_each(|a| w.kill(a));
}

fn start_machine(w: &mut World, m: u8) {
    machine(m).into_iter().for_each(|a| w.start(a));
}

/// The disk is lost; the machine is back with an empty one a second later.
fn wipe_machine(w: &mut World, m: u8) {
    machine(m).into_iter().for_each(|a| lose_disk(w, a));
    w.later(Span::secs(1), move |w| start_machine(w, m));
}

/// A machine with an empty disk comes at an address that was never used.
fn new_machine(w: &mut World, m: u8) {
    let seeds: Vec<Addr> = [1, 2, 3].map(|m| addr(m, 1)).to_vec();
    let zone = w.plan.zones[(m as usize - 1) % 3];
    let open = w.plan.open;
    w.plan.open = open.map(|o| controller::Open { initial: false, ..o });
    w.add_controller(addr(m, 1), zone, seeds.clone(), false);
    w.plan.open = open;
    w.add_ledger(200 + m as u16, addr(m, 3), zone, &seeds);
    w.add_edge(100 + m as u16, addr(m, 2), zone, &seeds);
    start_machine(w, m);
}

fn stop_machine(w: &mut World, m: u8) {
    machine(m).into_iter().for_each(|a| w.stop(a));
    // The grace is over: whatever has not ended is killed.
    w.later(Span::secs(5), move |w| kill_machine(w, m));
}

/// Edits of one lane all the time, through any machine that is up.
fn edits_all_the_time(w: &mut World, secs: u64) -> Vec<Token> {
    let tokens = Rc::new(RefCell::new(vec![]));
    for i in 0..secs * 3 {
        let sent = tokens.clone();
        w.later(Span::ms(333 * i), move |w| {
            let up: Vec<Addr> = (1..=9).map(|m| addr(m, 2)).filter(|e| w.edge(*e).is_some()).collect();
            let at = up[w.rng.usize(0..up.len())];
            let entry = LaneEntry { rank: (i % 5) as u8, ..lane_entry("ask", Kind::Plain, "desk", Span(0)) };
            let token = w.edit(at, vec![lane_edit("ask", 2 + i, entry)]);
            sent.borrow_mut().push(token);
        });
    }
    w.run(Span::secs(secs));
    let tokens = tokens.borrow().clone();
    tokens
}

fn acknowledged(w: &World, tokens: &[Token]) -> usize {
    tokens.iter().filter(|t| told(w, **t).is_some_and(|s| is_done(&s.receipt))).count()
}

/// The machines' controllers are members, all of one membership, and none else is.
fn members_are(w: &World, machines: &[u8]) {
    for m in machines {
        let Some(k) = w.controller(addr(*m, 1)) else { panic!("controller {m} is not up") };
        let members: Vec<Addr> = k.picture().members.iter().map(|x| x.addr).collect();
        assert!(k.kid().is_some(), "controller {m} has no seat: {members:?}");
        let mut sorted = members.clone();
        sorted.sort();
        let want: Vec<Addr> = machines.iter().map(|m| addr(*m, 1)).collect();
        assert_eq!(sorted, want, "members as controller {m} knows them");
    }
}

/// Every controller, edge and reading shows one configuration with all that was
/// acknowledged, and an edit is taken.
fn reads_back(w: &mut World, f: &Fleet, machines: &[u8], what: &str) {
    let edges: Vec<Addr> = (1..=9).map(|m| addr(m, 2)).filter(|e| w.edge(*e).is_some()).collect();
    let controllers = machines.iter().map(|m| addr(*m, 1)).collect();
    let now = Fleet { controllers, edges, ..f.clone() };
    common_sheet(w, &now, what);
    let entry = lane_entry("ask", Kind::Plain, "desk", Span(0));
    edited(w, now.edges[0], vec![lane_edit("ask", 9_000, entry)]);
    clean(w);
}

/// One machine replaced for good, then disks wiped, a planned replacement and a power loss,
/// each a few seconds after the last.
#[test]
fn given_losses_right_after_repairs_and_replacements_then_a_majority_is_left_and_all_is_read_back() {
    for seed in 2700..2706 {
        let (mut w, f) = World::standing_open(Plan::open(), seed);
        w.later(Span::secs(4), |w| kill_machine(w, 6));
        w.later(Span::secs(5), |w| new_machine(w, 7));
        w.later(Span::secs(12), |w| wipe_machine(w, 2));
        w.later(Span::secs(18), |w| wipe_machine(w, 4));
        w.later(Span::secs(18), |w| new_machine(w, 8));
        w.later(Span::secs(19), |w| stop_machine(w, 3));
        w.later(Span::secs(25), |w| kill_machine(w, 7));
        w.later(Span::secs(27), |w| start_machine(w, 7));
        w.later(Span::secs(35), |w| wipe_machine(w, 8));
        let tokens = edits_all_the_time(&mut w, 42);
        w.run(Span::secs(4));
        let done = acknowledged(&w, &tokens);
        println!("seed {seed}: {done} of {} edits acknowledged", tokens.len());
        reads_back(&mut w, &f, &[2, 4, 7, 8], &format!("seed {seed}"));
        members_are(&w, &[2, 4, 7, 8]);
        assert!(done * 10 >= tokens.len() * 6, "{done} of {} edits acknowledged", tokens.len());
    }
}
