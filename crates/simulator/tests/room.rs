//! A controller's disk is small: large configurations come again and again, or too large.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Span, Token};
use simulator::*;

/// Edits that set so many routes at a version, each with what its operator wrote.
fn configuration(routes: usize, said: usize, ver: u64) -> Vec<Edit> {
    let lane = |i: usize| {
        let l = lane_entry("read", Kind::Read, "pages", Span::secs(5));
        let said = format!("{i:0said$}");
        lane_edit(&format!("route-{i}"), ver, LaneEntry { prefix: format!("/route-{i}/"), said, ..l })
    };
    (0..routes).map(lane).collect()
}

#[test]
fn given_600_routes_set_anew_again_and_again_then_no_record_outgrows_the_disk() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 56_000);
    for ver in 1..=40 {
        let t = w.edit(f.edges[ver as usize % 6], configuration(600, 200, ver));
        let r = within(&mut w, t, Span::secs(5), "a configuration");
        assert!(is_done(&r), "{r:?}");
    }
    let largest = f.controllers.iter().map(|k| w.procs[k].disk.iter().map(Vec::len).sum::<usize>()).max();
    println!("40 times 600 routes: at most {} kB on a disk", largest.unwrap_or(0) / 1000);
    common_configuration(&mut w, &f, "after all");
    clean(&mut w);
}

#[test]
fn given_a_state_that_would_outgrow_the_disk_then_it_is_refused_and_nothing_is_lost() {
    let plan = Plan { controller_room: 256 << 10, controller_disk: 700 << 10, ..Plan::open() };
    let (mut w, f) = World::running_open_fleet(plan, 56_001);
    let before = common_configuration(&mut w, &f, "before");
    let t = w.edit(f.edges[1], configuration(1500, 200, 1));
    let r = within(&mut w, t, Span::secs(10), "too much");
    assert!(matches!(r, NodeReply::Unavailable(_)), "{r:?}");
    w.run(Span::secs(1));
    assert_eq!(common_configuration(&mut w, &f, "after"), before);
    let small: Vec<Token> = (0..6).map(|i| w.edit(f.edges[i], configuration(10, 20, 1 + i as u64))).collect();
    for t in small {
        let r = within(&mut w, t, Span::secs(4), "a small change");
        assert!(is_done(&r), "{r:?}");
    }
    clean(&mut w);
}
