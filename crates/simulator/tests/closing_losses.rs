//! Stories of a day's end: as many disks are lost as a deployment bears, right after or soon after
//! an order, and at the same moment every other machine loses power, counted or not.
mod common;
#[path = "common/disks.rs"]
mod disks;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use disks::*;
use open::*;
use primitives::{Span, Token};
use simulator::*;

const DOWN: Span = Span::ms(1200);
/// Operators read again and again for so long, after the machines are back.
const READING: Span = Span::secs(4);
/// Before they turn to another node.
const PATIENCE: Span = Span::secs(1);

/// Every machine at once; those named come back with empty disks.
fn closing(w: &mut World, machines: &[u8], wiped: &[u8]) {
    for m in machines {
        kill_machine(w, *m);
    }
    for m in wiped {
        machine(*m).into_iter().for_each(|a| w.wipe(a));
    }
    let all = machines.to_vec();
    w.later(DOWN, move |w| all.iter().for_each(|m| start_machine(w, *m)));
    w.run(DOWN);
}

/// The version of the entry as it is read back through one edge after the other.
fn read_back(w: &mut World, f: &Fleet, name: &str) -> Option<u64> {
    let end = w.now + READING;
    let mut turn = 0;
    while w.now < end {
        let t: Token = w.ask(f.edges[turn % f.edges.len()], Want::Read);
        w.until(PATIENCE, |w| reply_to(w, t).is_some());
        if let Some(NodeReply::Table(state, _)) = reply_to(w, t).map(|s| s.receipt.clone()) {
            return Some(state.item(&Key::Entry(Section::Lanes, name.into())).ver.0);
        }
        turn += 1;
        w.run(Span::ms(100));
    }
    None
}

fn changed(w: &mut World, f: &Fleet, ver: u64) -> Token {
    w.edit(f.edges[1], vec![lane_edit("last", ver, lane_entry("last", Kind::Plain, "desk", Span(0)))])
}

#[test]
fn given_disks_lost_and_all_power_with_them_right_after_an_acknowledgement_then_it_is_read_back_in_time() {
    for (seed, losses) in (5000..5012).zip([1, 2].into_iter().cycle()) {
        let open = Plan::open().open.map(|o| controller::Open { losses, ..o });
        let (mut w, f) = World::running_open_fleet(Plan { open, losses, ..Plan::open() }, seed);
        let mut machines: Vec<u8> = (1..=6).collect();
        if losses == 2 {
            [7, 8].into_iter().for_each(|m| new_machine(&mut w, m));
            machines.extend([7, 8]);
            w.run(Span::secs(5));
        }
        let wiped: &[u8] = if losses == 2 { &[2, 7] } else { &[3] };
        let t = changed(&mut w, &f, 1);
        assert!(w.until(Span::secs(4), |w| reply_to(w, t).is_some()), "seed {seed}: not acknowledged");
        closing(&mut w, &machines, wiped);
        assert_eq!(read_back(&mut w, &f, "last"), Some(1), "seed {seed}, {losses} disks lost");
        clean(&mut w);
    }
}

#[test]
fn given_the_same_soon_after_an_order_was_sent_then_it_is_read_back_in_time_if_it_was_acknowledged() {
    for seed in 5100..5124 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let machines: Vec<u8> = (1..=6).collect();
        assert!(matches!(told_of(&mut w, &f, 1), Some(NodeReply::Change(_))), "seed {seed}");
        let t = changed(&mut w, &f, 2);
        let after = Span::ms(w.rng.u64(5..400));
        w.run(after);
        let least = if reply_to(&w, t).is_some_and(|s| is_done(&s.receipt)) { 2 } else { 1 };
        let wiped = [[2], [3], [4], [6]][seed as usize % 4];
        closing(&mut w, &machines, &wiped);
        let read = read_back(&mut w, &f, "last");
        assert!(read.is_some_and(|v| v >= least), "seed {seed}: {read:?}, at least {least} after {after:?}");
        clean(&mut w);
    }
}

fn told_of(w: &mut World, f: &Fleet, ver: u64) -> Option<NodeReply> {
    let t = changed(w, f, ver);
    w.until(Span::secs(4), |w| reply_to(w, t).is_some());
    reply_to(w, t).map(|s| s.receipt.clone())
}
