//! Stories of numbers used twice and of orders sent again, at any node and after any loss.
mod common;
#[path = "common/open.rs"]
mod open;
use common::{clean, number};
use control_state::*;
use open::*;
use primitives::{Addr, Span, Token, Version};
use simulator::*;

/// Told apart by its rate.
fn service(name: &str, ver: u64, rate: u64) -> Edit {
    edit(Section::Services, name, ver, Some(Body::Service(service_entry(Some(rate)))))
}

fn is_refused(r: &NodeReply, name: &str, ver: u64) -> bool {
    let number = EntryNumber { section: Section::Services, name: name.into(), ver: Version(ver) };
    *r == NodeReply::Change(Verdict::Conflict(number))
}

fn refused(w: &mut World, at: Addr, call: Vec<Edit>, name: &str, ver: u64) {
    let t = w.edit(at, call);
    let r = within(w, t, Span::secs(4), "a number used twice");
    assert!(is_refused(&r, name, ver), "{r:?}");
}

fn nodes(f: &Fleet) -> Vec<Addr> {
    f.edges.iter().chain(&f.controllers).copied().collect()
}

/// As many races as show each side win at least once.
const RACES: u64 = 30;

#[test]
fn given_two_contents_under_one_number_at_two_nodes_then_one_wins_for_ever_and_nothing_of_the_other_stands() {
    let mut first_won = 0;
    for seed in 2400..2400 + RACES {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        let all = nodes(&f);
        let (a, b) = (w.rng.usize(0..10), w.rng.usize(1..10));
        // Each with an entry that nobody else sends.
        let calls = [1, 2].map(|who| vec![service(&format!("only{who}"), 1, who), service("x", 3, who)]);
        let ta = w.edit(all[a], calls[0].clone());
        let apart = Span(w.rng.u64(0..1000));
        w.run(apart);
        let tb = w.edit(all[(a + b) % 10], calls[1].clone());
        let [ra, rb] = [ta, tb].map(|t| within(&mut w, t, Span::secs(4), "a racing call"));
        let first = is_done(&ra);
        first_won += first as u64;
        let (won, lost) = if first { (0, 1) } else { (1, 0) };
        assert!(
            is_done([&ra, &rb][won]) && is_refused([&ra, &rb][lost], "x", 3),
            "{ra:?} {rb:?}, seed {seed}"
        );
        for at in all {
            refused(&mut w, at, calls[lost].clone(), "x", 3);
            edited(&mut w, at, calls[won].clone());
        }
        let configuration = common_configuration(&mut w, &f, "raced");
        let stands =
            |e: &Edit| configuration.get(&(e.section, e.name.clone())).map(|it| (it.ver, it.body.clone()));
        calls[won].iter().for_each(|e| assert_eq!(stands(e), Some((e.ver, e.body.clone()))));
        assert_eq!(stands(&calls[lost][0]), None, "seed {seed}: a part of what was refused stands");
        clean(&mut w);
    }
    assert!((1..RACES).contains(&first_won), "{first_won} of {RACES}: the same one always wins");
}

/// Sends a call again to other nodes, unchanged, until it has a clear answer somewhere.
struct Order {
    call: Vec<Edit>,
    sent: Vec<Token>,
}

impl Order {
    fn clear(&self, w: &World) -> Option<NodeReply> {
        let all = self.sent.iter().filter_map(|t| reply_to(w, *t)).map(|s| s.receipt.clone());
        all.into_iter().find(|r| !matches!(r, NodeReply::Unavailable(_)))
    }

    /// Whoever has lost answers sends on, though an answer was given.
    fn send(&mut self, w: &mut World, at: &[Addr]) {
        let at = at[w.rng.usize(0..at.len())];
        self.sent.push(w.edit(at, self.call.clone()));
    }
}

#[test]
fn given_eight_orders_at_once_sent_again_after_lost_answers_then_none_is_refused_and_each_has_one_effect() {
    let (from, n) = (number("LANEWING_SEED", 0), number("LANEWING_SEEDS", 8));
    for seed in from..from + n {
        let plan = Plan { drop: 0.01, dup: 0.02, cut_at: 24, drift: 45, ..Plan::open() };
        let (mut w, f) = World::running_open_fleet(plan, 2500 + seed);
        let all = nodes(&f);
        for round in 1..5u64 {
            // Orders of several entries: the next round overtakes some and leaves others.
            let call = |i: u64| vec![service(&format!("x{i}"), round, i), service("all", round * 10 + i, i)];
            let mut orders: Vec<Order> = (0..8).map(|i| Order { call: call(i), sent: vec![] }).collect();
            for _ in 0..2 {
                let (at, long) = (Span::ms(w.rng.u64(0..1000)), Span::ms(w.rng.u64(100..1400)));
                mishap(&mut w, at, long, &[Mishap::Kill, Mishap::Freeze, Mishap::CutOff]);
            }
            for i in 0..5 {
                orders.iter_mut().for_each(|o| o.send(&mut w, &all));
                let pause = Span::ms(20 + i * w.rng.u64(0..400));
                w.run(pause);
            }
            w.run(Span::secs(3));
            orders.iter_mut().for_each(|o| o.send(&mut w, &all));
            w.run(Span::secs(5));
            for o in &orders {
                let r = o.clear(&w);
                assert!(r.as_ref().is_some_and(is_done), "{r:?} of {:?}, seed {seed}", o.call);
            }
        }
        let refused = w.changes().find(|(_, v)| !matches!(v, Verdict::Done(_)));
        assert!(refused.is_none(), "{refused:?}, seed {seed}");
        w.plan.drop = 0.0;
        w.run(Span::secs(4));
        let configuration = common_configuration(&mut w, &f, "all sent");
        assert_eq!(configuration[&(Section::Services, "all".into())].ver, Version(47), "seed {seed}");
        clean(&mut w);
    }
}

/// Kills the controller that was asked, once another one has applied the edit.
fn killed_before_the_answer(w: &mut World, f: &Fleet, asked: Addr, e: &Edit) -> bool {
    let t = w.edit(asked, vec![e.clone()]);
    let applied = |w: &World| {
        let others = f.controllers.iter().filter(|k| **k != asked);
        others.clone().any(|k| w.controller(*k).is_some_and(|k| k.state().item(&e.key()).ver == e.ver))
    };
    for _ in 0..4000 {
        w.run(Span(250));
        if applied(w) {
            break;
        }
    }
    let answered = reply_to(w, t).is_some();
    w.kill(asked);
    !answered
}

#[test]
fn given_the_leader_killed_between_deciding_and_answering_then_the_order_is_taken_once_and_its_number_is_gone(
) {
    let mut unanswered = 0;
    for seed in 2600..2606 {
        let (mut w, f) = World::running_open_fleet(Plan::open(), seed);
        for (i, asked) in f.controllers.clone().into_iter().enumerate() {
            let ver = 2 + i as u64;
            let e = service("x", ver, ver);
            unanswered += killed_before_the_answer(&mut w, &f, asked, &e) as u32;
            refused(&mut w, f.edges[i + 1], vec![service("x", ver, 99)], "x", ver);
            edited(&mut w, f.edges[i], vec![e.clone()]);
            w.start(asked);
            w.run(Span::secs(2));
            refused(&mut w, asked, vec![service("x", ver, 98)], "x", ver);
            edited(&mut w, asked, vec![e]);
        }
        common_configuration(&mut w, &f, "all back");
        clean(&mut w);
    }
    assert_eq!(unanswered, 24, "some were answered before the kill");
}

#[test]
fn given_300_numbers_of_an_entry_then_an_early_one_is_acknowledged_again_also_by_controllers_started_anew() {
    let (mut w, f) = World::running_open_fleet(Plan { cut_at: 24, ..Plan::open() }, 2700);
    let all = nodes(&f);
    // Uneven steps; every seventh drops it.
    let step = |i: u64| {
        let body = Body::Service(service_entry(Some(i)));
        edit(Section::Services, "x", 3 * i + i % 2, Some(body).filter(|_| !i.is_multiple_of(7)))
    };
    for i in 1..=300 {
        edited(&mut w, all[i as usize % 10], vec![step(i)]);
        w.run(Span::ms(20));
    }
    let era = |w: &World| w.controller(f.controllers[0]).expect("is up").state().era;
    let first = era(&w);
    println!("{first:?} after 300 numbers");
    for turn in 0..2 {
        let before = common_configuration(&mut w, &f, "a long chain");
        for i in [1, 2, 7, 150, 299, 300] {
            for at in [all[turn], all[6 + turn]] {
                // The other one first: what is sent again could teach the number anew.
                refused(&mut w, at, vec![service("x", step(i).ver.0, 1000)], "x", step(i).ver.0);
                edited(&mut w, at, vec![step(i)]);
            }
        }
        assert_eq!(common_configuration(&mut w, &f, "sent again"), before);
        // From their snapshots: the numbers went through several eras.
        f.controllers.iter().for_each(|k| w.kill(*k));
        w.run(Span::secs(1));
        f.controllers.iter().for_each(|k| w.start(*k));
        w.run(Span::secs(3));
    }
    assert!(first >= Era(6) && era(&w) > first, "{first:?}, then {:?}: no snapshot was taken", era(&w));
    clean(&mut w);
}
