//! What one level of relays costs: one relay with so many children, fed with purges.
use crate::fleet::{controller_addr, svc};
use crate::meter::*;
use crate::plan::*;
use crate::relay::*;
use crate::row::Row;
use crate::slope::spread;
use caesar::Kid;
use control_state::*;
use primitives::{Birth, Mono, NodeId, Span, Version};
use std::collections::BTreeMap;

const STEP: Span = Span::ms(10);
/// Batches gather for so many steps; children speak at least every so many.
const GATHER: u64 = 5;
const WORD: u64 = 50;
/// A frame's head.
const HEAD: u64 = 11;

struct Level {
    meter: Meter,
    relay: Relay,
    up: Tally,
    down: Tally,
    held: Vec<BTreeMap<Key, Item>>,
    got: Vec<u64>,
    fresh: Vec<u8>,
}

/// One row for the relay and one for its children, all counted in virtual time.
pub fn relays(p: &Plan) -> Result<Vec<Row>> {
    p.check(Plan::limit())?;
    let n = p.nodes;
    let mut l = Level {
        meter: Meter::new()?,
        relay: Relay::default(),
        up: Tally::default(),
        down: Tally::default(),
        held: vec![BTreeMap::new(); n],
        got: vec![0; n],
        fresh: vec![0xff; 1800 / 8],
    };
    let mut rng = fastrand::Rng::with_seed(p.seed);
    let total = p.purges * p.secs;
    // When each controller's word of each purge comes, by steps.
    let mut due: BTreeMap<u64, Vec<(u16, u64)>> = BTreeMap::new();
    for i in 0..total {
        let at = i * p.secs * 100 / total.max(1);
        (0..CONTROLLERS as u16).for_each(|k| due.entry(at + rng.u64(0..8)).or_default().push((k, i)));
    }
    let mut feeds = [0u64; CONTROLLERS];
    let (mut came, mut reached, mut acked) = (BTreeMap::new(), vec![], vec![]);
    let mut open: Vec<u64> = vec![];
    for step in 0..p.secs * 100 {
        let now = Mono(100_000_000) + STEP.times(step);
        for (k, i) in due.remove(&step).unwrap_or_default() {
            came.entry(i).or_insert(step);
            feeds[k as usize] += 1;
            l.hear(k, feeds[k as usize], i, now);
        }
        if step % GATHER == GATHER - 1 {
            let all = l.batch(now);
            reached.extend(all.iter().map(|i| (step - came[i]) as f64 * 10.0));
            open.extend(all);
        }
        (0..n).filter(|c| step % WORD == (*c as u64) % WORD).for_each(|c| l.word(now, c, true));
        if l.acks(now) {
            acked.extend(open.drain(..).map(|i| (step - came[&i]) as f64 * 10.0));
        }
    }
    let row = |role: &str, t: Tally, n: usize| {
        let per = (p.secs * n as u64) as f64;
        let (last, ack) = (spread(&reached).unwrap_or_default(), spread(&acked).unwrap_or_default());
        Row {
            stretch: "one level of relays".into(),
            role: role.into(),
            seed: p.seed,
            secs: p.secs,
            nodes: p.nodes,
            whole: n,
            origins: 1800,
            services: 0,
            msgs_in: t.msgs_in as f64 / per,
            msgs_out: t.msgs_out as f64 / per,
            bytes_in: t.bytes_in as f64 / per,
            bytes_out: t.bytes_out as f64 / per,
            cpu_us: t.cpu as f64 / 1000.0 / per,
            cpu_us_most: t.cpu as f64 / 1000.0 / per,
            memory: 0.0,
            asked: total as usize,
            missing: (total as usize).saturating_sub(reached.len()),
            refused: 0,
            last_ms: last.1,
            last_ms_most: last.2,
            force_ms: ack.1,
            force_ms_most: ack.2,
        }
    };
    Ok(vec![row("relay", l.up, 1), row("child", l.down, n)])
}

impl Level {
    /// A controller's push of one purge, as controllers make it today.
    fn hear(&mut self, k: u16, to: u64, i: u64, now: Mono) {
        let scope = format!("objects/{:02}/{:012x}", i % 100, i * 7_919);
        let item = Item { ver: Version(1 << 32), body: Some(Body::Purge) };
        let member = |m: usize| Member {
            kid: Kid(m as u16),
            addr: controller_addr(m),
            http: controller_addr(m),
            zone: "region-00/zone-00".into(),
            birth: Birth(1_000_000_007),
        };
        let n = News {
            feed: 1,
            from: to - 1,
            to,
            full: false,
            items: vec![(Key::Purge(svc(i as usize % 200), scope), item)],
            era: Era(1),
            members: (0..CONTROLLERS).map(member).collect(),
            reply: None,
        };
        let b = postcard::to_stdvec(&Msg::News(Box::new(n))).unwrap_or_default();
        self.up.msgs_in += 1;
        self.up.bytes_in += b.len() as u64 + HEAD;
        let relay = &mut self.relay;
        let (_, cost) = self.meter.of(|| {
            crc32fast::hash(&b);
            if let Ok(Msg::News(n)) = postcard::from_bytes(&b) {
                relay.news(Kid(k), n.to, n.items);
            }
            relay.renewed(Kid(k), now + Span::secs(10));
        });
        self.up.cpu += cost;
    }

    /// Fans out what gathered; the numbers of the purges in it.
    fn batch(&mut self, now: Mono) -> Vec<u64> {
        let n = self.held.len();
        let relay = &mut self.relay;
        let (b, cost) = self.meter.of(|| {
            let b = relay.flush().and_then(|b| postcard::to_stdvec(&b).ok());
            // One framing for all; each child's link takes its own copy of the bytes.
            b.inspect(|b| (0..n).for_each(|_| drop(std::hint::black_box((b.clone(), crc32fast::hash(b))))))
        });
        self.up.cpu += cost;
        let Some(b) = b else { return vec![] };
        self.up.msgs_out += n as u64;
        self.up.bytes_out += n as u64 * (b.len() as u64 + HEAD);
        let mut told = vec![];
        for c in 0..n {
            let (held, got) = (&mut self.held[c], &mut self.got[c]);
            let (keys, cost) = self.meter.of(|| {
                crc32fast::hash(&b);
                let Ok(Bundle::Batch { from, to, items }) = postcard::from_bytes(&b) else { return vec![] };
                *got = if from <= *got { to } else { *got };
                items.iter().filter(|(k, it)| merge(held, k, it)).map(|(k, _)| k.clone()).collect()
            });
            self.down.cpu += cost;
            self.down.msgs_in += 1;
            self.down.bytes_in += b.len() as u64 + HEAD;
            told = keys;
            self.word(now, c, false);
        }
        let number = |k: &Key| match k {
            Key::Purge(_, s) => s.rsplit('/').next().and_then(|h| u64::from_str_radix(h, 16).ok()),
            _ => None,
        };
        told.iter().filter_map(number).map(|h| h / 7_919).collect()
    }

    /// A child's word and what it gets back.
    fn word(&mut self, now: Mono, c: usize, renew: bool) {
        let w = Word { id: NodeId(c as u64), life: 1, got: self.got[c], ask: now, renew };
        let (b, cost) = self.meter.of(|| postcard::to_stdvec(&w).unwrap_or_default());
        self.down.cpu += cost;
        self.down.msgs_out += 1;
        self.down.bytes_out += b.len() as u64 + HEAD;
        self.up.msgs_in += 1;
        self.up.bytes_in += b.len() as u64 + HEAD;
        let (relay, fresh) = (&mut self.relay, &self.fresh);
        let (r, cost) = self.meter.of(|| {
            crc32fast::hash(&b);
            let w = postcard::from_bytes::<Word>(&b).ok()?;
            let r = postcard::to_stdvec(&relay.word(now, &w, fresh)?).ok()?;
            crc32fast::hash(&r);
            Some(r)
        });
        self.up.cpu += cost;
        let Some(r) = r else { return };
        self.up.msgs_out += 1;
        self.up.bytes_out += r.len() as u64 + HEAD;
        self.down.msgs_in += 1;
        self.down.bytes_in += r.len() as u64 + HEAD;
        let (_, cost) = self.meter.of(|| (crc32fast::hash(&r), postcard::from_bytes::<Bundle>(&r)));
        self.down.cpu += cost;
    }

    /// Says upwards what all children hold; whether anything was said.
    fn acks(&mut self, now: Mono) -> bool {
        let relay = &mut self.relay;
        let ((said, size), cost) = self.meter.of(|| {
            let said = relay.acks(now);
            let m = |got: u64| Msg::Got { id: NodeId(0), feed: 1, got };
            let size: u64 =
                said.iter().map(|(_, g)| postcard::to_stdvec(&m(*g)).map_or(0, |b| b.len() as u64)).sum();
            (said.len() as u64, size)
        });
        self.up.cpu += cost;
        self.up.msgs_out += said;
        self.up.bytes_out += size + said * HEAD;
        said > 0
    }
}
