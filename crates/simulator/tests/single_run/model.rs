//! One key, two edges that are both asked to run it, three ledgers, and every order in
//! which messages, waits, losses and rounds may follow one another. The parts are the real
//! ones: each is rebuilt from what it was given so far.
use crate::stage::*;
use control_state::*;
use primitives::{Mono, Span, Token};

/// What is switched on. All of it in the product.
#[derive(Copy, Clone, Debug)]
pub struct Fences {
    /// The executor looks at the clock right before a round leaves.
    pub last_look: bool,
    /// A new disk recalls before it grants.
    pub recall: bool,
}

pub const PRODUCT: Fences = Fences { last_look: true, recall: true };

/// What a process was given since it started, and when.
#[derive(Clone, Debug)]
struct Process {
    started: Mono,
    life: u64,
    disk: Vec<Vec<u8>>,
    inputs: Vec<(Mono, In)>,
}

#[derive(Clone)]
pub struct State {
    now: Mono,
    all: Vec<Process>,
    /// From, to, what. Links may hold a message for any time, and lose it.
    post: Vec<(usize, usize, Msg)>,
    /// Rounds that wait to leave: of which edge.
    rounds: Vec<(usize, Round)>,
    pub ran: Vec<Mono>,
    begun: [bool; EDGES],
    left: Budget,
}

/// How often each may still come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    waits: [u8; 2],
    disks: u8,
    power: u8,
    repeats: u8,
    /// Answers to claims that are held up on their way.
    held: u8,
}

const BUDGET: Budget = Budget { waits: [2, 1], disks: 1, power: 1, repeats: 1, held: 2 };

#[derive(Clone, Debug)]
pub enum Act {
    /// A caller comes to this edge with the key.
    Begin(usize),
    Deliver(usize),
    /// Delivers a claim, and its answer at once.
    Vote(usize),
    /// Delivers it and keeps it: it comes again.
    Repeat(usize),
    /// A round leaves, however long its thread was frozen.
    Leave(usize),
    /// Not long, longer than a granted round may take to leave, longer than the window.
    Wait(usize),
    LoseDisk(usize),
    LosePower(usize),
}

const WAITS: [Span; 2] = [Span::secs(6), Span::secs(91)];

impl State {
    pub fn new() -> State {
        let now = Mono(1_000_000);
        let process = |life| Process { started: now, life, disk: vec![], inputs: vec![] };
        let mut all: Vec<Process> = (0..LEDGERS + EDGES).map(|p| process(p as u64 + 100)).collect();
        // The disks that the seats were taken with.
        let birth = ledger::Kept::Birth(primitives::Birth(1)).encode();
        all[..LEDGERS].iter_mut().for_each(|p| p.disk.push(birth.clone()));
        State { now, all, post: vec![], rounds: vec![], ran: vec![], begun: [false; EDGES], left: BUDGET }
    }

    pub fn acts(&self) -> Vec<Act> {
        let mut acts: Vec<Act> = (0..EDGES).filter(|e| !self.begun[*e]).map(Act::Begin).collect();
        let claim = |i: &usize| matches!(self.post[*i].2, Msg::Claim { .. });
        let (claims, rest): (Vec<usize>, Vec<usize>) = (0..self.post.len()).partition(claim);
        acts.extend(claims.iter().copied().map(Act::Vote));
        acts.extend(rest.into_iter().map(Act::Deliver));
        if self.left.held > 0 {
            acts.extend(claims.into_iter().map(Act::Deliver));
        }
        acts.extend((0..self.rounds.len()).map(Act::Leave));
        acts.extend((0..WAITS.len()).filter(|w| self.left.waits[*w] > 0).map(Act::Wait));
        if self.left.disks > 0 {
            acts.extend((0..LEDGERS).map(Act::LoseDisk));
        }
        if self.left.power > 0 {
            acts.extend((0..LEDGERS).map(Act::LosePower));
        }
        if self.left.repeats > 0 {
            acts.extend((0..self.post.len()).map(Act::Repeat));
        }
        acts
    }

    pub fn act(&self, a: &Act, f: Fences) -> State {
        let mut s = self.clone();
        match a {
            Act::Begin(e) => {
                s.begun[*e] = true;
                let ask = In::Ask(Token(*e as u64 + 1), Ask::Begin(request()));
                s.give(LEDGERS + e, ask, f);
            }
            Act::Deliver(i) => {
                let (from, to, m) = s.post.remove(*i);
                s.left.held -= matches!(m, Msg::Claim { .. }) as u8;
                s.give(to, In::Msg(addr(from), m), f);
            }
            Act::Vote(i) => {
                let (from, to, m) = s.post.remove(*i);
                let before = s.post.len();
                s.give(to, In::Msg(addr(from), m), f);
                for (of, to, answer) in s.post.split_off(before) {
                    s.give(to, In::Msg(addr(of), answer), f);
                }
            }
            Act::Repeat(i) => {
                s.left.repeats -= 1;
                let (from, to, m) = s.post[*i].clone();
                s.give(to, In::Msg(addr(from), m), f);
            }
            Act::Leave(i) => s.leave(*i, f),
            Act::Wait(w) => {
                s.left.waits[*w] -= 1;
                s.now = s.now + WAITS[*w];
                (0..s.all.len()).for_each(|p| s.give(p, In::Tick, f));
            }
            Act::LoseDisk(l) => {
                s.left.disks -= 1;
                s.restart(*l, vec![]);
            }
            Act::LosePower(l) => {
                s.left.power -= 1;
                let disk = s.synced(*l, f);
                s.restart(*l, disk);
            }
        }
        s
    }

    fn leave(&mut self, i: usize, f: Fences) {
        let (edge, r) = self.rounds.remove(i);
        let late = f.last_look && self.now >= r.until;
        if !late {
            self.ran.push(self.now);
        }
        // Its answer is lost: what the ledgers hold is all there is.
        let report = if late { FetchOutcome::NotSent } else { FetchOutcome::Lost };
        self.give(edge, In::Ask(Token(0), Ask::Done(r.n, report)), f);
    }

    fn restart(&mut self, l: usize, disk: Vec<Vec<u8>>) {
        let life = self.all[l].life + 10;
        self.all[l] = Process { started: self.now, life, disk, inputs: vec![] };
    }

    /// Rebuilds a process from what it was given; gives its outputs, each input's apart.
    fn replay(&self, p: usize, f: Fences) -> Vec<Vec<Out>> {
        let x = &self.all[p];
        let (mut part, first): (Box<dyn Part>, Vec<Out>) = if p < LEDGERS {
            let (l, out) = ledger(p, &x.disk, x.life, x.started, !f.recall);
            (Box::new(l), out)
        } else {
            (Box::new(edge(p, x.started)), vec![])
        };
        let mut all = vec![first];
        for (at, i) in &x.inputs {
            let mut out = vec![];
            part.step(*at, i.clone(), &mut out);
            all.push(out);
        }
        all
    }

    /// All that was synced. What left after a sync is in the post, and may stay there: a grant
    /// that was kept just before the power went, and never told.
    fn synced(&self, l: usize, f: Fences) -> Vec<Vec<u8>> {
        let mut disk = self.all[l].disk.clone();
        for o in self.replay(l, f).into_iter().flatten() {
            match o {
                Out::Save(b) => disk.push(b),
                Out::Base(b) => disk = vec![b],
                _ => (),
            }
        }
        disk
    }

    fn give(&mut self, p: usize, i: In, f: Fences) {
        self.all[p].inputs.push((self.now, i));
        let process = |a: &primitives::Addr| (0..LEDGERS + EDGES).find(|p| addr(*p) == *a);
        for o in self.replay(p, f).pop().unwrap_or_default() {
            match o {
                Out::Send(to, m) | Out::SendNow(to, m) => self.post.extend(process(&to).map(|to| (p, to, m))),
                Out::Fetch(r) => self.rounds.push((p, r)),
                _ => (),
            }
        }
        // Digests and ranges mend what a ledger lacks; the search does without them.
        self.post.retain(|(.., m)| !matches!(m, Msg::Digests(_) | Msg::Ranges(_)));
    }

    /// Equal for states that differ only in the order of what does not touch.
    pub fn print(&self) -> u64 {
        let mut post: Vec<String> = self.post.iter().map(|m| format!("{m:?}")).collect();
        let mut rounds: Vec<String> = self.rounds.iter().map(|r| format!("{r:?}")).collect();
        post.sort();
        rounds.sort();
        primitives::hash(&(
            self.now,
            format!("{:?}", self.all),
            post,
            rounds,
            &self.ran,
            self.begun,
            &self.left,
        ))
    }

    /// Delivers all messages of a kind, and those of it that come of them.
    pub fn deliver(&self, kind: fn(&Msg) -> bool) -> State {
        let next = self.post.iter().position(|(.., m)| kind(m));
        next.map_or(self.clone(), |i| self.act(&Act::Deliver(i), PRODUCT).deliver(kind))
    }

    /// Whether this ledger may grant.
    pub fn may_grant(&self, l: usize) -> bool {
        let x = &self.all[l];
        let (mut part, _) = ledger(l, &x.disk, x.life, x.started, false);
        x.inputs.iter().for_each(|(at, i)| part.step(*at, i.clone(), &mut vec![]));
        part.is_open()
    }

    /// Two runs of the key within the minute.
    pub fn ran_twice(&self) -> bool {
        let near = |w: &[Mono]| w[1] - w[0] < Span::secs(60);
        self.ran.windows(2).any(near)
    }
}
