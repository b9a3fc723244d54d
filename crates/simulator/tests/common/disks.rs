//! Shared by tests in which machines with disks are added, lost and replaced.
#![allow(dead_code)]
use super::open::*;
use control_state::*;
use primitives::{Addr, Span, Token};
use simulator::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Highest machine number that a test may add.
const LAST: u8 = 40;

/// Kills all processes of a machine at once.
pub fn kill_machine(w: &mut World, m: u8) {
    machine(m).into_iter().for_each(|a| w.kill(a));
}

/// Starts all processes of a machine.
pub fn start_machine(w: &mut World, m: u8) {
    machine(m).into_iter().for_each(|a| w.start(a));
}

/// Loses the disk of a machine, which restarts with an empty one after a second.
pub fn wipe_machine(w: &mut World, m: u8) {
    for a in machine(m) {
        w.kill(a);
        w.wipe(a);
    }
    w.later(Span::secs(1), move |w| start_machine(w, m));
}

fn seeds() -> Vec<Addr> {
    [1, 2, 3].map(|m| addr(m, 1)).to_vec()
}

fn zone(w: &World, m: u8) -> &'static str {
    w.plan.zones[(m as usize - 1) % 3]
}

/// Starts a controller with an empty disk as the only process of its machine.
pub fn new_controller(w: &mut World, m: u8) {
    new_controller_with(w, m, seeds());
}

fn new_controller_with(w: &mut World, m: u8, seeds: Vec<Addr>) {
    let (open, zone) = (w.plan.open, zone(w, m));
    w.plan.open = open.map(|o| controller::Open { initial: false, ..o });
    w.add_controller(addr(m, 1), zone, seeds, false);
    w.plan.open = open;
    w.start(addr(m, 1));
}

/// Starts a machine with an empty disk at an address that was never used.
pub fn new_machine(w: &mut World, m: u8) {
    new_machine_with(w, m, &seeds());
}

/// Same as [`new_machine`], with other seeds.
pub fn new_machine_with(w: &mut World, m: u8, seeds: &[Addr]) {
    let zone = zone(w, m);
    new_controller_with(w, m, seeds.to_vec());
    w.add_ledger(200 + m as u16, addr(m, 3), zone, seeds);
    w.add_edge(100 + m as u16, addr(m, 2), zone, seeds);
    start_machine(w, m);
}

/// Starts a machine without a disk at an address that was never used.
pub fn new_diskless_machine(w: &mut World, m: u8, seeds: &[Addr]) {
    let zone = zone(w, m);
    w.add_diskless_controller(addr(m, 1), zone, seeds.to_vec());
    w.add_edge(100 + m as u16, addr(m, 2), zone, seeds);
    start_machine(w, m);
}

/// Changes the seeds of a machine that is down, from its next start on; its disk is kept.
pub fn set_seeds(w: &mut World, m: u8, seeds: &[Addr]) {
    let saved = machine(m).map(|a| w.procs.get(&a).map(|p| (p.disk.clone(), p.life)));
    let (open, zone) = (w.plan.open, zone(w, m));
    w.plan.open = open.map(|o| controller::Open { initial: false, ..o });
    w.add_controller(addr(m, 1), zone, seeds.to_vec(), false);
    w.plan.open = open;
    w.add_ledger(200 + m as u16, addr(m, 3), zone, seeds);
    w.add_edge(100 + m as u16, addr(m, 2), zone, seeds);
    for (a, saved) in machine(m).into_iter().zip(saved) {
        let p = w.procs.get_mut(&a).expect("just added");
        (p.disk, p.life) = saved.unwrap_or_default();
    }
}

/// Orderly stop of a machine; it is killed if it still runs after 5 s.
pub fn stop_machine(w: &mut World, m: u8) {
    let life = w.procs[&addr(m, 1)].life;
    machine(m).into_iter().for_each(|a| w.stop(a));
    w.later(Span::secs(5), move |w| {
        if w.procs[&addr(m, 1)].life == life {
            w.count("killed after the grace");
            kill_machine(w, m);
        }
    });
}

/// Cuts a machine off from all others.
pub fn cut_off(w: &mut World, m: u8) {
    w.isolate(&machine(m));
}

/// The edges that are running.
pub fn edges_up(w: &World) -> Vec<Addr> {
    (1..=LAST).map(|m| addr(m, 2)).filter(|e| w.edge(*e).is_some()).collect()
}

/// Schedules three edits of one route per second, each through a random running machine. The
/// returned list is filled as they are sent.
pub fn edits_from_now_on(w: &mut World, secs: u64) -> Rc<RefCell<Vec<Token>>> {
    let tokens = Rc::new(RefCell::new(vec![]));
    let first = 2 + w.now.0 / 1000;
    for i in 0..secs * 3 {
        let sent = tokens.clone();
        w.later(Span::ms(333 * i), move |w| {
            let up = edges_up(w);
            if up.is_empty() {
                return;
            }
            let at = up[w.rng.usize(0..up.len())];
            let entry = LaneEntry { rank: (i % 5) as u8, ..lane_entry("ask", Kind::Plain, "desk", Span(0)) };
            let token = w.edit(at, vec![lane_edit("ask", first + i, entry)]);
            sent.borrow_mut().push(token);
        });
    }
    tokens
}

/// Runs for `secs` with such edits, and returns their tokens.
pub fn edits_all_the_time(w: &mut World, secs: u64) -> Vec<Token> {
    let tokens = edits_from_now_on(w, secs);
    w.run(Span::secs(secs));
    let tokens = tokens.borrow().clone();
    tokens
}

/// How many of these edits were acknowledged.
pub fn acknowledged(w: &World, tokens: &[Token]) -> usize {
    tokens.iter().filter(|t| reply_to(w, **t).is_some_and(|s| is_done(&s.receipt))).count()
}

/// Asserts that the controllers of exactly these machines are members, and that all agree on it.
pub fn members_are(w: &World, machines: &[u8], what: &str) {
    let mut want: Vec<Addr> = machines.iter().map(|m| addr(*m, 1)).collect();
    want.sort();
    for m in machines {
        let Some(k) = w.controller(addr(*m, 1)) else { panic!("controller {m} is not up, {what}") };
        let mut members: Vec<Addr> = k.state().members.iter().map(|x| x.addr).collect();
        members.sort();
        assert!(k.member_id().is_some(), "controller {m} is not a member: {members:?}, {what}");
        assert_eq!(members, want, "members as controller {m} knows them, {what}");
    }
}

/// Asserts that every controller, edge and read shows one configuration with all that was
/// acknowledged, that an edit is accepted, and that no rule was violated.
pub fn reads_back(w: &mut World, f: &Fleet, machines: &[u8], what: &str) {
    let controllers = machines.iter().map(|m| addr(*m, 1)).collect();
    let running = Fleet { controllers, edges: edges_up(w), ..f.clone() };
    common_configuration(w, &running, what);
    let entry = lane_entry("ask", Kind::Plain, "desk", Span(0));
    edited(w, running.edges[0], vec![lane_edit("ask", 1 << 40, entry)]);
    w.rules.check_rates();
    assert!(w.rules.violations.is_empty(), "{what}: {:#?}", w.rules.violations);
}
