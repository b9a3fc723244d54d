//! Virtual time for a hollow fleet: one queue of events, from one seed. Every message is
//! framed as on a link, checked and decoded by whom it reaches; only thin nodes are handed
//! what they need of it.
use crate::fleet::*;
use crate::meter::*;
use crate::plan::*;
use brood::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use wax::{Addr, Mono, Span, Token};

/// A frame's head: magic, version, length, checksum.
const HEAD: u64 = 11;
const TICK: Span = Span::ms(10);
pub(crate) const BEAT: Span = Span::ms(200);

pub(crate) struct Proc {
    pub addr: Addr,
    pub role: Role,
    place: (usize, usize),
    pub body: Body3,
    line: VecDeque<Out>,
    syncing: bool,
    pub tally: Tally,
}

/// A message as it left.
struct Sealed {
    size: u64,
    what: What,
    /// The purges and changes watched that it tells of.
    marks: Vec<usize>,
}

enum What {
    Bytes(Vec<u8>, u32),
    /// What a thin node needs of it.
    Trimmed(Box<Msg>),
}

enum Ev {
    Msg(Addr, usize, Sealed),
    Tick(usize),
    Synced(usize, Vec<Out>),
    Beat(usize),
    Ask(usize, Token, Change),
}

struct Due(Mono, u64, Ev);

impl PartialEq for Due {
    fn eq(&self, o: &Due) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Due) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Due {
    /// The soonest is the greatest.
    fn cmp(&self, o: &Due) -> Ordering {
        (o.0, o.1).cmp(&(self.0, self.1))
    }
}

/// A purge or change on its way to all nodes.
#[derive(Clone, Debug)]
pub(crate) struct Mark {
    pub asked: Mono,
    pub seen: Vec<bool>,
    pub left: usize,
    pub last: Mono,
    pub in_force: Option<Mono>,
    pub refused: bool,
}

pub(crate) struct World {
    pub plan: Plan,
    pub now: Mono,
    pub rng: fastrand::Rng,
    pub procs: Vec<Proc>,
    at: BTreeMap<Addr, usize>,
    heap: BinaryHeap<Due>,
    /// When the last message on each link arrives: a link keeps its order.
    links: HashMap<(usize, usize), Mono>,
    seq: u64,
    meter: Meter,
    pub marks: Vec<Mark>,
    /// By the hash of an item's key and, but for purges, its version.
    pub watch: BTreeMap<u64, usize>,
    pub asked: BTreeMap<Token, usize>,
    pub next: u64,
}

/// What a watched item goes by: a purge's scope is its own, a row has versions.
pub(crate) fn sign(k: &Key, ver: u64) -> u64 {
    wax::hash(&(k, if matches!(k, Key::Purge(..)) { 0 } else { ver }))
}

impl World {
    pub(crate) fn new(plan: Plan) -> Result<World> {
        Ok(World {
            rng: fastrand::Rng::with_seed(plan.seed),
            now: Mono(100_000_000),
            procs: vec![],
            at: BTreeMap::new(),
            heap: BinaryHeap::new(),
            links: HashMap::new(),
            seq: 0,
            meter: Meter::new()?,
            marks: vec![],
            watch: BTreeMap::new(),
            asked: BTreeMap::new(),
            next: 0,
            plan,
        })
    }

    fn at(&mut self, after: Span, e: Ev) {
        self.seq += 1;
        self.heap.push(Due(self.now + after, self.seq, e));
    }

    /// Takes a process in; it ticks from then on.
    pub(crate) fn add(&mut self, addr: Addr, role: Role, no: usize, (body, out): (Body3, Vec<Out>)) {
        let (i, line) = (self.procs.len(), out.into());
        let p = Proc { addr, role, place: place(no), body, line, syncing: false, tally: Tally::default() };
        self.procs.push(p);
        self.at.insert(addr, i);
        self.flush(i);
        let first = Span(self.rng.u64(0..TICK.0));
        self.at(first, Ev::Tick(i));
    }

    pub(crate) fn start_beats(&mut self) {
        for i in 0..self.plan.origins() {
            let first = Span(self.rng.u64(0..BEAT.0));
            self.at(first, Ev::Beat(i));
        }
    }

    /// Asks a keeper for a change and watches for it everywhere.
    pub(crate) fn change(&mut self, after: Span, keeper: usize, op: Op, watch: u64) {
        self.next += 1;
        let (id, t, nodes) = (format!("change-{:08}", self.next), Token(self.next), self.plan.nodes);
        let asked = self.now + after;
        let m = Mark {
            asked,
            seen: vec![false; nodes],
            left: nodes,
            last: asked,
            in_force: None,
            refused: false,
        };
        self.marks.push(m);
        self.watch.insert(watch, self.marks.len() - 1);
        self.asked.insert(t, self.marks.len() - 1);
        self.at(after, Ev::Ask(keeper, t, Change { id: Some(id.as_str().into()), op }));
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.heap.peek().is_some_and(|d| d.0 <= end) {
            let Some(Due(t, _, e)) = self.heap.pop() else { break };
            self.now = t;
            self.handle(e);
        }
        self.now = end;
    }

    /// Runs until it holds, at most so long; false if it never did.
    pub(crate) fn until(&mut self, most: Span, f: impl Fn(&World) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end && !f(self) {
            self.run(Span::ms(50));
        }
        f(self)
    }

    fn handle(&mut self, e: Ev) {
        match e {
            Ev::Msg(from, to, s) => self.receive(from, to, s),
            Ev::Tick(i) => {
                self.step(i, In::Tick);
                self.at(TICK, Ev::Tick(i));
            }
            Ev::Synced(i, batch) => {
                self.procs[i].syncing = false;
                self.carry(i, batch);
                self.flush(i);
            }
            Ev::Beat(o) => {
                self.next += 1;
                let ask = Ask::Beat(beat(&self.plan, o), None);
                self.step(o % KEEPERS, In::Ask(Token(self.next), ask));
                self.at(BEAT, Ev::Beat(o));
            }
            Ev::Ask(k, t, c) => self.step(k, In::Ask(t, Ask::Change(c))),
        }
    }

    fn receive(&mut self, from: Addr, to: usize, s: Sealed) {
        let now = self.now;
        if let Some(node) = to.checked_sub(KEEPERS) {
            for m in s.marks {
                let m = &mut self.marks[m];
                if !std::mem::replace(&mut m.seen[node], true) {
                    m.left -= 1;
                    m.last = now;
                }
            }
        }
        let p = &mut self.procs[to];
        p.tally.msgs_in += 1;
        p.tally.bytes_in += s.size;
        let body = &mut p.body;
        let (out, cost) = self.meter.of(|| {
            let m = match s.what {
                What::Trimmed(m) => Some(*m),
                What::Bytes(b, sum) => {
                    Some(b).filter(|b| crc32fast::hash(b) == sum).and_then(|b| postcard::from_bytes(&b).ok())
                }
            };
            let mut out = vec![];
            m.into_iter().for_each(|m| body.step(now, In::Msg(from, m), &mut out));
            out
        });
        p.tally.cpu += cost;
        p.line.extend(out);
        self.flush(to);
    }

    fn step(&mut self, i: usize, inp: In) {
        let (now, p) = (self.now, &mut self.procs[i]);
        let body = &mut p.body;
        let (out, cost) = self.meter.of(|| {
            let mut out = vec![];
            body.step(now, inp, &mut out);
            out
        });
        p.tally.cpu += cost;
        p.line.extend(out);
        self.flush(i);
    }

    /// Sync, then send. What gathers during a sync goes with the next one.
    fn flush(&mut self, i: usize) {
        let p = &mut self.procs[i];
        if p.syncing || p.line.is_empty() {
            return;
        }
        let batch: Vec<Out> = p.line.drain(..).collect();
        if batch.iter().any(|o| matches!(o, Out::Save(_) | Out::Base(_))) {
            p.syncing = true;
            let d = Span(self.rng.u64(300..2500));
            return self.at(d, Ev::Synced(i, batch));
        }
        self.carry(i, batch);
    }

    fn carry(&mut self, i: usize, batch: Vec<Out>) {
        let mut sends = vec![];
        for o in batch {
            match o {
                Out::Send(to, m) => sends.push((to, m)),
                Out::Tell(t, r) => self.told(t, r),
                _ => (),
            }
        }
        for (to, m) in sends {
            self.mail(i, to, m);
        }
    }

    fn told(&mut self, t: Token, r: Receipt) {
        let now = self.now;
        if let Some(m) = self.asked.remove(&t).map(|m| &mut self.marks[m]) {
            m.refused = !matches!(r, Receipt::Change(Verdict::Done(_)));
            m.in_force = Some(now).filter(|_| !m.refused);
        }
    }

    fn mail(&mut self, i: usize, addr: Addr, m: Msg) {
        let Some(to) = self.at.get(&addr).copied() else { return };
        let marks = self.marks_of(&m);
        let thin = matches!(self.procs[to].body, Body3::Thin(_));
        let ((size, what), cost) = self.meter.of(|| {
            let b = postcard::to_stdvec(&m).unwrap_or_default();
            let (sum, size) = (crc32fast::hash(&b), b.len() as u64 + HEAD);
            (size, if thin { What::Trimmed(Box::new(trim(m))) } else { What::Bytes(b, sum) })
        });
        let due = self.now + self.distance(i, to);
        let link = self.links.entry((i, to)).or_default();
        *link = due.max(*link);
        let d = *link - self.now;
        let t = &mut self.procs[i].tally;
        t.cpu += cost;
        t.msgs_out += 1;
        t.bytes_out += size;
        let from = self.procs[i].addr;
        self.at(d, Ev::Msg(from, to, Sealed { size, what, marks }));
    }

    fn marks_of(&self, m: &Msg) -> Vec<usize> {
        match m {
            Msg::News(n) if !self.watch.is_empty() => {
                let of = |(k, it): &(Key, Item)| self.watch.get(&sign(k, it.ver.0)).copied();
                n.items.iter().filter_map(of).collect()
            }
            _ => vec![],
        }
    }

    /// One-way: within a zone, between zones, between regions by how far apart they are.
    fn distance(&mut self, a: usize, b: usize) -> Span {
        let ((ra, za), (rb, zb)) = (self.procs[a].place, self.procs[b].place);
        let round = ra.abs_diff(rb).min(REGIONS - ra.abs_diff(rb)) as u64;
        let base = match (a == b, za == zb, round) {
            (true, ..) => return Span(0),
            (_, true, _) => 250,
            (_, _, 0) => 1_000,
            (_, _, r) => 10_000 + 13_000 * r,
        };
        Span(base + self.rng.u64(0..base / 10 + 50))
    }
}

/// What a node that holds nothing needs: numbers and leases; one item, to acknowledge.
fn trim(m: Msg) -> Msg {
    match m {
        Msg::News(mut n) => {
            n.items.truncate(1);
            n.items.shrink_to_fit();
            n.reply.iter_mut().for_each(|r| r.beats = vec![]);
            Msg::News(n)
        }
        m => m,
    }
}
