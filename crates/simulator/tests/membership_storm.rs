//! Any sequence of losses, returns and replacements of disk machines, one loss at a time and
//! a few seconds of rest after each (`LANEWING_SEED`, `LANEWING_SEEDS`).
mod common;
#[path = "common/disks.rs"]
mod disks;
#[path = "common/open.rs"]
mod open;
use common::number;
use disks::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;
use std::collections::BTreeMap;

/// From the end of one event to the next loss.
const REST: Span = Span::secs(4);
const EVENTS: usize = 9;
/// Each event and its rest take at most this long.
const LONGEST_EVENT: u64 = 16;

#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Replaced,
    GoneForGood,
    NewMachine,
    Wiped,
    PowerLoss,
    CutOff,
    Frozen,
    PlannedReplacement,
    OrderlyRestart,
    WipedDuringPlannedReplacement,
    AllDown,
}

const ALL: [Event; 11] = [
    Event::Replaced,
    Event::GoneForGood,
    Event::NewMachine,
    Event::Wiped,
    Event::PowerLoss,
    Event::CutOff,
    Event::Frozen,
    Event::PlannedReplacement,
    Event::OrderlyRestart,
    Event::WipedDuringPlannedReplacement,
    Event::AllDown,
];

/// The disk machines there are, and the next that may come.
struct Machines {
    all: Vec<u8>,
    next: u8,
}

impl Machines {
    fn remove_one(&mut self, w: &mut World) -> u8 {
        let i = w.rng.usize(0..self.all.len());
        self.all.remove(i)
    }

    fn one(&self, w: &mut World) -> u8 {
        self.all[w.rng.usize(0..self.all.len())]
    }

    fn arrive(&mut self, w: &mut World) {
        new_machine(w, self.next);
        self.all.push(self.next);
        self.next += 1;
    }

    fn planned_replacement(&mut self, w: &mut World) {
        let leaver = self.remove_one(w);
        self.arrive(w);
        let ahead = Span::ms(w.rng.u64(0..3000));
        w.run(ahead);
        stop_machine(w, leaver);
        w.run(Span::ms(5100));
    }
}

fn some_time(w: &mut World, from_ms: u64, to_ms: u64) -> Span {
    Span::ms(w.rng.u64(from_ms..to_ms))
}

/// Brings it about and lets it pass.
fn happen(w: &mut World, ms: &mut Machines, event: Event) {
    let away = some_time(w, 300, 8000);
    match event {
        Event::Replaced => {
            let gone = ms.remove_one(w);
            kill_machine(w, gone);
            w.run(Span::secs(1));
            ms.arrive(w);
            w.run(Span::secs(1));
        }
        Event::GoneForGood => {
            let gone = ms.remove_one(w);
            kill_machine(w, gone);
        }
        Event::NewMachine => ms.arrive(w),
        Event::Wiped => {
            let m = ms.one(w);
            wipe_machine(w, m);
            w.run(Span::secs(1));
        }
        Event::PowerLoss => {
            let m = ms.one(w);
            kill_machine(w, m);
            w.run(away);
            start_machine(w, m);
        }
        Event::CutOff => {
            let m = ms.one(w);
            cut_off(w, m);
            w.run(away);
            w.heal();
        }
        Event::Frozen => {
            let m = ms.one(w);
            machine(m).into_iter().for_each(|a| w.freeze(a));
            w.run(away);
            machine(m).into_iter().for_each(|a| w.thaw(a));
        }
        Event::PlannedReplacement => ms.planned_replacement(w),
        Event::OrderlyRestart => {
            let m = ms.one(w);
            stop_machine(w, m);
            w.run(Span::ms(5100));
            start_machine(w, m);
        }
        Event::WipedDuringPlannedReplacement => {
            let m = ms.one(w);
            let others =
                Machines { all: ms.all.iter().copied().filter(|x| *x != m).collect(), next: ms.next };
            wipe_machine(w, m);
            *ms = others;
            ms.planned_replacement(w);
            ms.all.push(m);
        }
        Event::AllDown => {
            let all: Vec<Addr> = w.procs.iter().filter(|(_, p)| p.part.is_some()).map(|(a, _)| *a).collect();
            all.iter().for_each(|a| w.kill(*a));
            w.run(Span::secs(1));
            all.iter().for_each(|a| w.start(*a));
        }
    }
    w.run(REST);
}

fn possible(event: Event, machines: usize) -> bool {
    match event {
        Event::GoneForGood => machines > 3,
        Event::NewMachine => machines < 6,
        _ => true,
    }
}

fn storm(seed: u64, counts: &mut BTreeMap<Event, u64>) {
    let plan = Plan { drop: 0.002, dup: 0.01, cut_at: 48, ..Plan::open() };
    let (mut w, f) = World::running_open_fleet(plan, 99_000 + seed);
    let mut machines = Machines { all: vec![2, 3, 4, 6], next: 7 };
    let what = format!("storm seed {seed}");
    let tokens = edits_from_now_on(&mut w, EVENTS as u64 * LONGEST_EVENT);
    let mut told_of = vec![];
    for _ in 0..EVENTS {
        let events: Vec<Event> = ALL.into_iter().filter(|e| possible(*e, machines.all.len())).collect();
        let event = events[w.rng.usize(0..events.len())];
        *counts.entry(event).or_default() += 1;
        told_of.push(event);
        happen(&mut w, &mut machines, event);
        let edge = edges_up(&w)[0];
        let asked = w.now;
        let t = w.ask(edge, Want::Read);
        assert!(w.until(Span::secs(5), |w| reply_to(w, t).is_some()), "{what}: no answer after {told_of:?}");
        let r = &reply_to(&w, t).expect("told").receipt;
        assert!(
            matches!(r, control_state::NodeReply::Table(..)),
            "{what}: {r:?} at {asked:?} after {told_of:?}"
        );
    }
    w.plan.drop = 0.0;
    w.run(Span::secs(EVENTS as u64 * LONGEST_EVENT));
    let (n, done) = (tokens.borrow().len(), acknowledged(&w, &tokens.borrow()));
    println!("{what}: {done} of {n} edits acknowledged, {told_of:?}");
    members_are(&w, &machines.all, &format!("{what} after {told_of:?}"));
    reads_back(&mut w, &f, &machines.all, &what);
}

#[test]
fn given_any_sequence_of_single_losses_with_rest_between_then_all_acknowledged_is_read_back() {
    let (from, n) = (number("LANEWING_SEED", 0), number("LANEWING_SEEDS", 8));
    let mut counts = BTreeMap::new();
    (from..from + n).for_each(|seed| storm(seed, &mut counts));
    counts.iter().for_each(|(event, k)| println!("{k:>6} {event:?}"));
    for event in ALL {
        assert!(n < 8 || counts.contains_key(&event), "no {event:?} in all seeds");
    }
}
