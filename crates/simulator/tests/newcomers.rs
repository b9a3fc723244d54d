//! Stories of controllers that come back knowing few others: an operator's list names any three
//! nodes, and none of them need be the leader.
mod common;
#[path = "common/disks.rs"]
mod disks;
#[path = "common/open.rs"]
mod open;
use disks::*;
use primitives::{Addr, Span};
use simulator::*;

const DISK_MACHINES: [u8; 4] = [2, 3, 4, 6];

fn leader(w: &World) -> u8 {
    let leads = |m: &u8| w.controller(addr(*m, 1)).is_some_and(|k| k.leads(w.now));
    DISK_MACHINES.into_iter().find(leads).expect("somebody leads")
}

fn controllers(machines: &[u8]) -> Vec<Addr> {
    machines.iter().map(|m| addr(*m, 1)).collect()
}

#[test]
fn given_an_empty_disk_whose_seeds_do_not_name_the_leader_then_it_gets_its_seat_again() {
    for seed in 4800..4808 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let leader = leader(&w);
        let others: Vec<u8> = DISK_MACHINES.into_iter().filter(|m| *m != leader).collect();
        let lost = others[seed as usize % 3];
        machine(lost).into_iter().for_each(|a| common::lose_disk(&mut w, a));
        set_seeds(&mut w, lost, &controllers(&others));
        w.run(Span::secs(1));
        start_machine(&mut w, lost);
        w.run(Span::secs(6));
        let what = format!("seed {seed}, machine {lost}, leader {leader}");
        members_are(&w, &DISK_MACHINES, &what);
        // One more loss is borne again: of the leader, this time.
        wipe_machine(&mut w, leader);
        w.run(Span::secs(8));
        reads_back(&mut w, &f, &DISK_MACHINES, &what);
    }
}

#[test]
fn given_a_controller_back_after_all_members_it_knew_were_replaced_then_its_seeds_lead_it_to_the_others() {
    for seed in 4810..4814 {
        let (mut w, _) = World::running_open_fleet(Plan::open(), seed);
        kill_machine(&mut w, 6);
        w.run(Span::secs(5));
        for (old, new) in [(2, 7), (3, 8), (4, 9)] {
            new_machine(&mut w, new);
            w.run(Span::secs(4));
            kill_machine(&mut w, old);
            w.run(Span::secs(6));
        }
        let what = format!("seed {seed}");
        members_are(&w, &[7, 8, 9], &what);
        set_seeds(&mut w, 6, &controllers(&[8, 9]));
        start_machine(&mut w, 6);
        w.run(Span::secs(8));
        members_are(&w, &[6, 7, 8, 9], &what);
    }
}

/// Machines 2, 3 and 4 are replaced by 7, 8 and 9, one after the other.
fn replace_three(w: &mut World, seeds: &[Addr]) {
    for (old, new) in [(2, 7), (3, 8), (4, 9)] {
        kill_machine(w, old);
        w.run(Span::secs(1));
        new_machine_with(w, new, seeds);
        w.run(Span::secs(9));
    }
}

// Guards against a deployment that dies out by replacements: a controller without a disk, the
// only seed of the new ones, did not know the members and left them without a seat.
#[test]
fn given_new_disks_whose_seeds_have_none_then_they_take_the_seats_of_those_they_replace() {
    for seed in 4820..4826 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        replace_three(&mut w, &controllers(&[5]));
        let what = format!("seed {seed}");
        members_are(&w, &[6, 7, 8, 9], &what);
        reads_back(&mut w, &f, &[6, 7, 8, 9], &what);
    }
}

// The same where the only seed came later itself, and its own seeds have no disk either.
#[test]
fn given_seeds_that_came_later_and_have_no_disk_then_new_disks_take_their_seats() {
    for seed in 4830..4834 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        new_diskless_machine(&mut w, 10, &controllers(&[5]));
        w.run(Span::secs(3));
        replace_three(&mut w, &controllers(&[10]));
        let what = format!("seed {seed}");
        members_are(&w, &[6, 7, 8, 9], &what);
        // One of the new disks is lost right after: it is borne.
        wipe_machine(&mut w, 8);
        w.run(Span::secs(8));
        reads_back(&mut w, &f, &[6, 7, 8, 9], &what);
    }
}
