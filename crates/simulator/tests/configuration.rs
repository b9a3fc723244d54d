//! Stories of the operator's configuration: edits valid or refused as a whole, and versions.
mod common;
#[path = "common/open.rs"]
mod open;
use common::clean;
use control_state::*;
use open::*;
use primitives::{Addr, Span, Version};
use simulator::*;

fn service(name: &str, ver: u64, rate: u64) -> Edit {
    edit(Section::Services, name, ver, Some(Body::Service(service_entry(Some(rate)))))
}

fn lane() -> LaneEntry {
    lane_entry("new", Kind::Plain, "desk", Span(0))
}

/// Each kind of flaw, and what is said of it.
fn flawed() -> Vec<(Edit, EditError)> {
    let name = || "new".to_string();
    let bad = |l: LaneEntry, f: EditError| (lane_edit("new", 7, l), f);
    let misplaced = |s, b| (edit(s, "new", 7, Some(b)), EditError::WrongSection { name: name() });
    vec![
        bad(LaneEntry { host: String::new(), ..lane() }, EditError::NoHost { name: name() }),
        bad(LaneEntry { prefix: "/new".into(), ..lane() }, EditError::Prefix { name: name() }),
        bad(LaneEntry { prefix: "new/".into(), ..lane() }, EditError::Prefix { name: name() }),
        bad(LaneEntry { prefix: String::new(), ..lane() }, EditError::Prefix { name: name() }),
        bad(LaneEntry { attempts: 0, ..lane() }, EditError::NoAttempts { name: name() }),
        bad(LaneEntry { aim: Span::secs(65), ..lane() }, EditError::AimExceedsTimeout { name: name() }),
        bad(LaneEntry { weights: vec![], ..lane() }, EditError::NoWeight { name: name() }),
        bad(LaneEntry { weights: vec![("desk".into(), 0)], ..lane() }, EditError::NoWeight { name: name() }),
        bad(
            LaneEntry { weights: vec![("desk".into(), 1), ("nobody".into(), 1)], ..lane() },
            EditError::UnknownService { name: name(), svc: "nobody".into() },
        ),
        misplaced(Section::Services, Body::Lane(lane())),
        misplaced(Section::Limits, Body::Service(service_entry(None))),
        misplaced(Section::Lanes, Body::Service(service_entry(None))),
    ]
}

#[test]
fn given_an_invalid_edit_of_each_kind_alone_or_among_others_then_the_call_has_no_effect_anywhere() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2000);
    let before = common_configuration(&mut w, &f, "before");
    for (i, (bad, flaw)) in flawed().into_iter().enumerate() {
        let good = service(&format!("good{i}"), 1, 5);
        let other = service("desk", 9, 5);
        let calls = [vec![bad.clone()], vec![good.clone(), bad.clone()], vec![bad.clone(), other, good]];
        for (n, call) in calls.into_iter().enumerate() {
            let at = f.edges[(i + n) % 6];
            let t = w.edit(at, call);
            let r = within(&mut w, t, Span::secs(1), "an invalid edit");
            assert_eq!(r, NodeReply::Change(Verdict::InvalidEdit(flaw.clone())), "{bad:?}");
        }
        assert_eq!(common_configuration(&mut w, &f, "after"), before, "{bad:?}");
    }
    // The limits themselves are no flaw.
    let edge = LaneEntry { aim: Span::ms(64_999), attempts: 1, prefix: "/".into(), ..lane() };
    edited(&mut w, f.edges[4], vec![lane_edit("new", 7, edge)]);
    clean(&mut w);
}

#[test]
fn given_a_lane_and_its_new_service_in_one_call_then_both_stand_and_without_the_service_neither() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2001);
    let l = LaneEntry { weights: vec![("fresh".into(), 1)], ..lane() };
    let gone = edit(Section::Services, "fresh", 2, None);
    let call = vec![lane_edit("new", 1, l.clone()), service("fresh", 1, 5), gone];
    let t = w.edit(f.edges[2], call);
    let r = within(&mut w, t, Span::secs(1), "a lane without its service");
    assert!(matches!(r, NodeReply::Change(Verdict::InvalidEdit(EditError::UnknownService { .. }))), "{r:?}");
    edited(&mut w, f.edges[2], vec![lane_edit("new", 1, l), service("fresh", 1, 5)]);
    assert_eq!(common_configuration(&mut w, &f, "both").len(), 7);
    clean(&mut w);
}

fn reads(w: &mut World, f: &Fleet, name: &str) -> (u64, Option<Body>) {
    let all = common_configuration(w, f, name);
    let it = all.get(&(Section::Services, name.into())).cloned().unwrap_or_default();
    (it.ver.0, it.body)
}

/// Asked there, and refused since that number has another content.
fn refused(w: &mut World, at: Addr, call: Vec<Edit>, name: &str, ver: u64) {
    let t = w.edit(at, call);
    let r = within(w, t, Span::secs(4), "a number used twice");
    let number = EntryNumber { section: Section::Services, name: name.into(), ver: Version(ver) };
    assert_eq!(r, NodeReply::Change(Verdict::Conflict(number)));
}

#[test]
fn given_an_old_call_sent_again_then_it_has_no_effect_and_is_answered_as_done() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2002);
    // The fourth was never taken, and is below what stands; each is sent twice.
    for (at, ver) in [(0, 3), (1, 5), (2, 3), (3, 4), (4, 5), (5, 4)] {
        edited(&mut w, f.edges[at], vec![service("x", ver, ver * 10)]);
    }
    assert_eq!(reads(&mut w, &f, "x"), (5, service("x", 5, 50).body));
    for (at, ver) in [(0, 3), (1, 4), (2, 5)] {
        refused(&mut w, f.edges[at], vec![service("x", ver, ver * 10 + 1)], "x", ver);
    }
    assert_eq!(reads(&mut w, &f, "x"), (5, service("x", 5, 50).body));
    clean(&mut w);
}

#[test]
fn given_an_entry_dropped_then_a_lower_version_does_not_bring_it_back_and_a_higher_one_does() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2003);
    let drop = |ver| edit(Section::Services, "x", ver, None);
    edited(&mut w, f.edges[0], vec![service("x", 3, 1)]);
    edited(&mut w, f.edges[1], vec![drop(2)]);
    assert_eq!(reads(&mut w, &f, "x"), (3, service("x", 3, 1).body), "dropped by a lower version");
    edited(&mut w, f.edges[2], vec![drop(6)]);
    assert_eq!(reads(&mut w, &f, "x"), (6, None));
    edited(&mut w, f.edges[3], vec![service("x", 5, 2)]);
    // The number that dropped it belongs to the drop.
    refused(&mut w, f.edges[3], vec![service("x", 6, 2)], "x", 6);
    assert_eq!(reads(&mut w, &f, "x"), (6, None), "brought back");
    edited(&mut w, f.edges[4], vec![service("x", 7, 3)]);
    assert_eq!(reads(&mut w, &f, "x"), (7, service("x", 7, 3).body));
    clean(&mut w);
}

fn denied(w: &mut World, edge: Addr) -> bool {
    let t = w.call(edge, "new", "a/b?c");
    w.run(Span::secs(1));
    matches!(step(w, t), Some(Step::Deny(Denied::NoLane, _)))
}

#[test]
fn given_an_acknowledged_lane_then_every_edge_serves_it_at_once_and_none_once_it_is_dropped() {
    let (mut w, f) = World::running_open_fleet(Plan::open(), 2004);
    w.allow("new", "desk", u32::MAX, Span(0));
    edited(&mut w, f.edges[5], vec![lane_edit("new", 4, lane())]);
    let all: Vec<_> = f.edges.iter().map(|g| w.call(*g, "new", "a/b?c")).collect();
    w.run(Span::secs(1));
    assert!(all.iter().all(|t| is_served(&w, *t)));
    edited(&mut w, f.edges[3], vec![edit(Section::Lanes, "new", 5, None)]);
    f.edges.iter().for_each(|g| assert!(denied(&mut w, *g), "{g} still has the lane"));
    clean(&mut w);
}
