//! A refusal by a command that is merely accepted, not yet stable, may be wrong:
//! its predecessors are not final. Messages are passed by hand here.
#[path = "sim/cmd.rs"]
mod cmd;
use cmd::Cmd;
use waggle::*;
use wax::{Mono, Span};

type Letter = (usize, usize, Wag<Cmd>);

struct Hand {
    ms: Vec<Machine<Cmd>>,
    now: Mono,
    /// Sent, not yet delivered.
    post: Vec<Letter>,
    order: Vec<Vec<u64>>,
}

impl Hand {
    fn new() -> Hand {
        let roster: Vec<Kid> = (0..4).map(Kid).collect();
        let now = Mono(1_000_000);
        let one = |i: u16| Machine::new(Kid(i), roster.clone(), Pace::default(), now);
        Hand { ms: (0..4).map(one).collect(), now, post: vec![], order: vec![vec![]; 4] }
    }

    fn act(&mut self, i: usize, f: impl FnOnce(&mut Machine<Cmd>, Mono, &mut Vec<Out<Cmd>>)) {
        let mut out = vec![];
        f(&mut self.ms[i], self.now, &mut out);
        for o in out {
            match o {
                Out::Send(to, m) => self.post.push((i, to.0 as usize, m)),
                Out::Deliver(_, c) => self.order[i].push(c.id),
                Out::Save(_) => (),
            }
        }
    }

    fn propose(&mut self, i: usize, id: u64) {
        self.act(i, |m, now, o| {
            m.propose(now, Cmd { id, keys: vec![1] }, o);
        });
    }

    /// Delivers, again and again, all that passes; leaves the rest in the post.
    fn pass(&mut self, may: impl Fn(&Letter) -> bool) {
        while let Some(at) = self.post.iter().position(&may) {
            let (from, to, m) = self.post.remove(at);
            self.act(to, |x, now, o| x.take(now, Kid(from as u16), m, o));
        }
    }

    /// Time goes on among these, everything between them arriving.
    fn live(&mut self, who: &[usize], span: Span) {
        for _ in 0..span.as_ms() / 20 {
            self.now = self.now + Span::ms(20);
            for i in who {
                self.act(*i, |m, now, o| m.tick(now, o));
            }
            self.pass(|(a, b, _)| who.contains(a) && who.contains(b));
            self.post.retain(|(a, b, _)| who.contains(a) && who.contains(b));
        }
    }
}

#[test]
fn given_a_fast_decision_and_one_refusal_by_a_merely_accepted_command_when_the_leader_is_gone_then_one_order()
{
    let mut h = Hand::new();
    // d (1) is decided at <50, 0> by all but keeper 1.
    h.act(0, |m, _, o| m.start_above(50, o));
    h.propose(0, 1);
    h.pass(|(a, b, _)| *a != 1 && *b != 1);
    h.post.clear();
    // Keeper 1, behind, proposes e (2); 0 and 2 refuse it, 2 suggests a late time.
    h.act(2, |m, _, o| m.start_above(60, o));
    h.propose(1, 2);
    h.pass(|(a, b, m)| *a != 3 && *b != 3 && !matches!(m, Wag::Retry(_)));
    // Its Retry reaches keeper 0 alone, for now.
    h.pass(|(_, b, m)| *b == 0 && matches!(m, Wag::Retry(_)));
    // Keeper 3 proposes c (3) below e's new time: 1, 2 and 3 confirm, that is a
    // fast decision; 0 looks at it too. Nobody else hears of the decision.
    h.propose(3, 3);
    h.pass(|(a, b, m)| match m {
        Wag::FastPropose(o, _) => o.cmd.id == 3 && *b != 0,
        Wag::Vote(v) => v.cid.kid == Kid(3),
        Wag::Stable(o) => o.cmd.id == 3 && *a == 3 && *b == 3,
        _ => false,
    });
    h.pass(|(_, b, m)| *b == 0 && matches!(m, Wag::FastPropose(o, _) if o.cmd.id == 3));
    h.post.retain(|(a, b, _)| *a != 3 && *b != 3);
    assert_eq!(h.ms[3].tally.fast, 1, "c was not decided fast");
    // Keeper 3 is gone for a while; the others finish both; then it is back.
    h.pass(|_| true);
    h.live(&[0, 1, 2], Span::secs(12));
    h.live(&[0, 1, 2, 3], Span::secs(12));
    assert_eq!(h.order[0].len(), 3, "{:?}", h.order);
    assert!(h.order.iter().all(|o| *o == h.order[0]), "{:?}", h.order);
}
