//! Steps parts and carries out what they ask for: sync, then send, framed as on a link.
use crate::fleet::Body3;
use crate::plan::*;
use crate::world::*;
use control_state::*;
use primitives::{Addr, Span, Token};

/// A frame's head: magic, version, length, checksum.
const HEAD: u64 = 11;

/// A message as it left.
pub(crate) struct Sealed {
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

impl World {
    pub(crate) fn receive(&mut self, from: Addr, to: usize, s: Sealed) {
        let now = self.now;
        if let Some(node) = to.checked_sub(CONTROLLERS) {
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

    pub(crate) fn step(&mut self, i: usize, inp: In) {
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
    pub(crate) fn flush(&mut self, i: usize) {
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

    pub(crate) fn carry(&mut self, i: usize, batch: Vec<Out>) {
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
        let Some(to) = self.by_addr.get(&addr).copied() else { return };
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
