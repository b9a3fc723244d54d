//! The rules themselves: fed a planted violation of each, they must report it.
use control_state::*;
use primitives::{Addr, Birth, Mono, Span, Version};
use simulator::*;
use std::sync::Arc;

fn round(svc: &str, q: CallerRequest) -> Round {
    Round {
        n: 1,
        addr: addr(60, 80),
        svc: svc.into(),
        birth: Birth(1),
        until: Mono(0),
        answer_deadline: Mono(0),
        extra: false,
        tag: String::new(),
        req: q,
    }
}

fn request(method: &str, lane: &str, key: Option<&str>) -> CallerRequest {
    CallerRequest {
        method: method.into(),
        lane: lane.into(),
        path: "x".into(),
        key: key.map(str::to_string),
        heads: Headers::default(),
        body: Arc::new(vec![]),
        ..CallerRequest::default()
    }
}

fn stand_in_origin(w: &mut World) -> StandInOrigin {
    w.add_origin(addr(60, 80), "desk", "sicilia/a");
    w.origins[&addr(60, 80)].clone()
}

fn exchange(want: Want, receipt: NodeReply, asked: u64, at: u64) -> Exchange {
    Exchange {
        token: primitives::Token(0),
        at: addr(1, 2),
        want,
        asked: Mono(asked),
        answered: Mono(at),
        receipt,
    }
}

fn serve(body: &str, from: AnswerSource) -> NodeReply {
    let w = Whole::new(200, "", body.as_bytes().to_vec());
    NodeReply::Step(Step::Serve(Arc::new(w), from, Mono(u64::MAX)))
}

fn caught(name: &str, violate: impl FnOnce(&mut World)) {
    let mut w = World::empty(Plan::trinacria(), 1);
    w.allow("ask", "desk", 10, Span::secs(5));
    w.allow("pay", "desk", 10, Span::secs(5));
    violate(&mut w);
    w.rules.check_rates();
    let hit = w.rules.violations.iter().any(|b| b.starts_with(name));
    assert!(hit, "{name} was not reported: {:?}", w.rules.violations);
}

const K: Addr = Addr(std::net::SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1)));

#[test]
fn given_a_planted_violation_of_each_rule_then_the_checker_reports_it() {
    let s = Mono(100_000_000);
    caught("ran twice", |w| {
        let b = stand_in_origin(w);
        let r = round("desk", request("POST", "pay", Some("k")));
        w.rules.arrived(s, &b, &r);
        w.rules.arrived(s + Span::secs(59), &b, &r);
    });
    caught("ran after it was denied", |w| {
        let b = stand_in_origin(w);
        let q = request("POST", "ask", None);
        let no = NodeReply::Step(Step::Deny(Denied::Ceiling, Span(0)));
        w.rules.check_reply(&exchange(Want::Request(q.clone()), no, 0, 10));
        w.rules.arrived(s, &b, &round("desk", q));
    });
    caught("denied though it ran", |w| {
        let b = stand_in_origin(w);
        let q = request("POST", "ask", None);
        w.rules.arrived(s, &b, &round("desk", q.clone()));
        let no = NodeReply::Step(Step::Deny(Denied::Ceiling, Span(0)));
        w.rules.check_reply(&exchange(Want::Request(q), no, 0, 10));
    });
    for body in ["desk|y|1|0", "desk|x|1", "other|x|1|0", "desk|x|1|0|somebody else"] {
        caught("not its origin's whole answer", |w| {
            let q = request("GET", "ask", None);
            w.rules.check_reply(&exchange(Want::Request(q), serve(body, AnswerSource::Origin), 0, 10));
        });
    }
    caught("leaving or gone", |w| {
        let b = StandInOrigin { left: Some(s), ..stand_in_origin(w) };
        w.rules.arrived(s + Span::ms(2001), &b, &round("desk", request("GET", "ask", None)));
    });
    caught("service never allowed", |w| {
        let b = StandInOrigin { svc: "taken over".into(), ..stand_in_origin(w) };
        w.rules.arrived(s, &b, &round("desk", request("GET", "ask", None)));
    });
    let key = Key::Row("ask".into(), "desk".into());
    let change = |v: u64| {
        let c = Change { id: Some("c".into()), op: Op::Purge(vec![]) };
        let done = Verdict::Done(vec![(Key::Row("ask".into(), "desk".into()), Version(v))]);
        exchange(Want::Change(c), NodeReply::Change(done), 0, 10)
    };
    caught("acknowledged but not in force", |w| {
        w.rules.check_reply(&change(2));
        w.rules.check_effective(s, K, |_| Version(1));
    });
    caught("went back", |w| {
        w.rules.check_reply(&change(1));
        w.rules.check_effective(s, K, |_| Version(3));
        w.rules.check_effective(s, K, |k| if *k == key { Version(2) } else { Version(0) });
    });
    caught("missing at read-back", |w| {
        w.rules.check_reply(&change(1));
        w.rules.check_reply(&exchange(Want::Table, NodeReply::Table(Box::default(), vec![]), 20, 30));
    });
    caught("purged content served", |w| {
        w.rules.editions.insert("desk".into(), (2, Mono(5)));
        let c = Change { id: Some("p".into()), op: Op::Purge(vec![("desk".into(), "".into())]) };
        w.rules.check_reply(&exchange(Want::Change(c), NodeReply::Change(Verdict::Done(vec![])), 0, 10));
        let q = Want::Request(request("GET", "ask", None));
        w.rules.check_reply(&exchange(q, serve("desk|x|1|0", AnswerSource::Origin), 0, 2_500_000));
    });
    caught("copy outlived its lifetime", |w| {
        let q = Want::Request(request("GET", "ask", None));
        w.rules.check_reply(&exchange(q, serve("desk|x|1|0", AnswerSource::Copy(Span(0))), 0, 7_100_000));
    });
    caught("over the ceiling", |w| {
        let b = stand_in_origin(w);
        let r = round("desk", request("GET", "ask", None));
        (0..56).for_each(|i| w.rules.arrived(s + Span::ms(i * 80), &b, &r));
    });
    caught("too many extra tries", |w| {
        let b = stand_in_origin(w);
        let r = Round { extra: true, ..round("desk", request("GET", "ask", None)) };
        (0..14).for_each(|i| w.rules.arrived(s + Span::ms(i * 600), &b, &r));
    });
}
