//! Controllers whose messages are passed by hand.
#[path = "../sim/cmd.rs"]
mod cmd;
use caesar::*;
pub use cmd::Cmd;
use primitives::{Mono, Span};

pub type Letter = (usize, usize, Message<Cmd>);

#[derive(Clone)]
pub struct Hand {
    pub ms: Vec<Machine<Cmd>>,
    pub now: Mono,
    /// Sent, not yet delivered.
    pub post: Vec<Letter>,
    pub order: Vec<Vec<u64>>,
}

impl Hand {
    pub fn new(pace: ReplicaConfig) -> Hand {
        let roster: Vec<MemberId> = (0..4).map(MemberId).collect();
        let now = Mono(1_000_000);
        let one = |i: u16| Machine::new(MemberId(i), roster.clone(), pace, now);
        Hand { ms: (0..4).map(one).collect(), now, post: vec![], order: vec![vec![]; 4] }
    }

    /// d (1) is decided by 0, 2 and 3; 1 has not heard of it, proposed e (2), was refused
    /// and asks again at a late time; only 0 has that yet.
    #[allow(dead_code)]
    pub fn behind(pace: ReplicaConfig) -> Hand {
        let mut h = Hand::new(pace);
        h.act(0, |m, _, o| m.advance_clock(50, o));
        h.propose(0, 1);
        h.pass(|(a, b, _)| *a != 1 && *b != 1);
        h.post.clear();
        h.act(2, |m, _, o| m.advance_clock(60, o));
        h.propose(1, 2);
        h.pass(|(a, b, m)| *a != 3 && *b != 3 && !matches!(m, Message::Retry(_)));
        h.pass(|(_, b, m)| *b == 0 && matches!(m, Message::Retry(_)));
        h
    }

    pub fn act(&mut self, i: usize, f: impl FnOnce(&mut Machine<Cmd>, Mono, &mut Vec<Out<Cmd>>)) {
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

    pub fn propose(&mut self, i: usize, id: u64) {
        self.act(i, |m, now, o| {
            m.propose(now, Cmd { id, keys: vec![1] }, o);
        });
    }

    /// Delivers, again and again, all that passes; leaves the rest in the post.
    pub fn pass(&mut self, may: impl Fn(&Letter) -> bool) {
        while let Some(at) = self.post.iter().position(&may) {
            let (from, to, m) = self.post.remove(at);
            self.act(to, |x, now, o| x.take(now, MemberId(from as u16), m, o));
        }
    }

    /// Time goes on among these, everything between them arriving.
    pub fn live(&mut self, who: &[usize], span: Span, step: Span) {
        for _ in 0..span.0 / step.0 {
            self.now = self.now + step;
            for i in who {
                self.act(*i, |m, now, o| m.tick(now, o));
            }
            self.pass(|(a, b, _)| who.contains(a) && who.contains(b));
            self.post.retain(|(a, b, _)| who.contains(a) && who.contains(b));
        }
    }
}
