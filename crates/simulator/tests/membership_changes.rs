//! Stories of controllers that are replaced, wiped, cut off and told to leave, in a
//! deployment that nobody counted.
mod common;
#[path = "common/disks.rs"]
mod disks;
#[path = "common/open.rs"]
mod open;
use caesar::MemberId;
use disks::*;
use open::*;
use primitives::{Addr, Span};
use simulator::*;

fn member_id(w: &World, m: u8) -> Option<MemberId> {
    w.controller(addr(m, 1)).and_then(|k| k.member_id())
}

/// One machine replaced for good, then disks wiped, a planned replacement and a power loss,
/// each a few seconds after the last.
#[test]
fn given_losses_right_after_repairs_and_replacements_then_a_majority_is_left_and_all_is_read_back() {
    for seed in 2700..2706 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
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
        let what = format!("seed {seed}");
        reads_back(&mut w, &f, &[2, 4, 7, 8], &what);
        members_are(&w, &[2, 4, 7, 8], &what);
        assert!(done * 100 >= tokens.len() * 97, "{done} of {} edits acknowledged", tokens.len());
    }
}

/// Six disk machines and two losses at once.
#[test]
fn given_two_losses_at_once_again_and_again_then_a_majority_is_left_and_all_is_read_back() {
    for seed in 2710..2714 {
        let open = Plan::open().open.map(|o| controller::Open { losses: 2, ..o });
        let (mut w, f) = World::running_open_fleet(Plan { open, losses: 2, ..Plan::open() }, seed);
        [7, 8].into_iter().for_each(|m| new_machine(&mut w, m));
        w.run(Span::secs(5));
        members_are(&w, &[2, 3, 4, 6, 7, 8], "six to begin with");
        w.later(Span::secs(1), |w| [6, 7].into_iter().for_each(|m| kill_machine(w, m)));
        w.later(Span::secs(2), |w| [9, 10].into_iter().for_each(|m| new_machine(w, m)));
        w.later(Span::secs(7), |w| [2, 3].into_iter().for_each(|m| wipe_machine(w, m)));
        w.later(Span::secs(12), |w| [4, 9].into_iter().for_each(|m| wipe_machine(w, m)));
        w.later(Span::secs(17), |w| [8, 10].into_iter().for_each(|m| kill_machine(w, m)));
        w.later(Span::secs(18), |w| [11, 12].into_iter().for_each(|m| new_machine(w, m)));
        w.later(Span::secs(23), |w| [2, 11].into_iter().for_each(|m| wipe_machine(w, m)));
        let tokens = edits_all_the_time(&mut w, 30);
        w.run(Span::secs(4));
        let done = acknowledged(&w, &tokens);
        println!("seed {seed}: {done} of {} edits acknowledged", tokens.len());
        let what = format!("seed {seed}");
        reads_back(&mut w, &f, &[2, 3, 4, 9, 11, 12], &what);
        members_are(&w, &[2, 3, 4, 9, 11, 12], &what);
    }
}

#[test]
fn given_a_member_cut_off_for_long_then_it_loses_its_seat_and_comes_back_under_a_new_id() {
    for (seed, secs) in (2720..2726).zip([5, 8, 12, 20, 6, 15]) {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let m = [2, 3, 4, 6][seed as usize % 4];
        let old = member_id(&w, m);
        cut_off(&mut w, m);
        w.later(Span::secs(secs), |w| w.heal());
        let tokens = edits_all_the_time(&mut w, secs + 3);
        w.run(Span::secs(4));
        let new = member_id(&w, m);
        assert!(new > old, "seed {seed}: {old:?} became {new:?}");
        let done = acknowledged(&w, &tokens);
        println!("seed {seed}: cut off for {secs} s, {done} of {} edits acknowledged", tokens.len());
        let what = format!("seed {seed}");
        members_are(&w, &[2, 3, 4, 6], &what);
        reads_back(&mut w, &f, &[2, 3, 4, 6], &what);
    }
}

/// A controller that was itself frozen has not noticed that others were silent.
#[test]
fn given_the_leader_frozen_for_long_when_it_thaws_then_it_gives_nobodys_seat_away() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2730);
    let member_ids: Vec<_> = [2, 3, 4, 6].map(|m| member_id(&w, m)).to_vec();
    let all: Vec<Addr> = w.procs.keys().copied().collect();
    all.iter().for_each(|a| w.freeze(*a));
    w.run(Span::secs(15));
    // The leader thaws first and works through what waited for it.
    w.thaw(f.controllers[0]);
    w.run(Span::ms(300));
    all.iter().for_each(|a| w.thaw(*a));
    w.run(Span::secs(4));
    assert_eq!(member_ids, [2, 3, 4, 6].map(|m| member_id(&w, m)).to_vec(), "seats changed");
    reads_back(&mut w, &f, &[2, 3, 4, 6], "after the freeze");
}

#[test]
fn given_a_new_machine_and_then_an_old_one_told_to_stop_then_the_seat_passes_before_it_ends() {
    for (seed, ahead) in (2740..2746).zip([0, 100, 400, 1000, 3000, 200]) {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let leaver = [2, 3, 4, 6][seed as usize % 4];
        new_machine(&mut w, 7);
        w.later(Span::ms(ahead), move |w| stop_machine(w, leaver));
        // Right when it has ended a disk is lost.
        let stays = [2, 3, 4, 6].into_iter().filter(|m| *m != leaver).collect::<Vec<_>>();
        let wiped = stays[0];
        w.later(Span::ms(ahead + 5000), move |w| wipe_machine(w, wiped));
        let tokens = edits_all_the_time(&mut w, 10);
        w.run(Span::secs(4));
        let done = acknowledged(&w, &tokens);
        println!("seed {seed}: {done} of {} edits acknowledged", tokens.len());
        assert_eq!(count(&w, "killed after the grace"), 0, "seed {seed}");
        let now = [stays, vec![7]].concat();
        let what = format!("seed {seed}");
        members_are(&w, &now, &what);
        reads_back(&mut w, &f, &now, &what);
    }
}

/// With as few members as the losses call for, one that restarts keeps its seat.
#[test]
fn given_machines_restarted_in_turn_then_the_membership_never_falls_below_what_losses_call_for() {
    for seed in 2750..2753 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        kill_machine(&mut w, 6);
        w.run(Span::secs(4));
        members_are(&w, &[2, 3, 4], "one is given up");
        let member_ids = [2, 3, 4].map(|m| member_id(&w, m));
        for m in [2, 3, 4] {
            stop_machine(&mut w, m);
            assert!(w.until(Span::secs(5), |w| w.controller(addr(m, 1)).is_none()), "{m} does not end");
            w.run(Span::secs(1));
            start_machine(&mut w, m);
            w.run(Span::secs(3));
            members_are(&w, &[2, 3, 4], &format!("after {m} was restarted, seed {seed}"));
        }
        assert_eq!(member_ids, [2, 3, 4].map(|m| member_id(&w, m)), "seed {seed}");
        reads_back(&mut w, &f, &[2, 3, 4], &format!("seed {seed}"));
    }
}

/// Whoever was let go before the others had ended joins again.
#[test]
fn given_all_machines_told_to_stop_at_once_when_they_start_again_then_all_have_a_seat() {
    for (seed, apart) in (2760..2766).zip([0, 0, 50, 200, 500, 1000]) {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        for (i, m) in [3, 2, 6, 4].into_iter().enumerate() {
            w.later(Span::ms(apart * i as u64), move |w| stop_machine(w, m));
        }
        w.run(Span::secs(10));
        assert!([2, 3, 4, 6].iter().all(|m| w.controller(addr(*m, 1)).is_none()), "seed {seed}");
        assert_eq!(count(&w, "killed after the grace"), 0, "seed {seed}");
        [2, 3, 4, 6].into_iter().for_each(|m| start_machine(&mut w, m));
        w.run(Span::secs(5));
        let what = format!("seed {seed}");
        members_are(&w, &[2, 3, 4, 6], &what);
        reads_back(&mut w, &f, &[2, 3, 4, 6], &what);
    }
}
