//! The ledger itself: its state, its start, and what each input does.
use crate::claims::KeyClaim;
use crate::compacted_state::CompactedState;
use crate::disk_cache::DiskCache;
use crate::fill::Fill;
use crate::grants::*;
use crate::leave::Leaving;
use crate::recall::Recall;
use crate::replicate::Replication;
use control_state::*;
use primitives::{Birth, Epoch, Mono, NodeId, Span, Version};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct LedgerEnv {
    pub follow: FollowerEnv,
    /// How long a key stays with its round: the brief's minute, and over it the
    /// time a granted round may take to leave and to run.
    pub window: Span,
    /// Bytes of records after which all is written anew in short.
    pub compact_after_bytes: usize,
    /// Bytes of copies kept, none if nought; with all keys they must fit one file of
    /// the ring.
    pub room: usize,
    /// Bytes of keys and outcomes kept; beyond it no key is granted. With `room`
    /// they must fit one file of the ring, or they could not be written in short.
    pub most: usize,
    /// Which boot of the machine this is.
    pub boot: u64,
    /// Lost disks borne at once; the same at every edge and ledger.
    pub losses: usize,
    /// A granted round must leave within this; the same at every edge and ledger.
    pub leave: Span,
    /// Outcomes stay where they were given: a key is known at all of its ledgers, its
    /// outcome at one more than disks may be lost at once.
    pub minimal_outcome_copies: bool,
}

/// How often what is over is looked for.
const SWEEP: Span = Span::ms(250);

/// Plain data: a copy of it goes on as the original would.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) env: LedgerEnv,
    pub(crate) follow: Follower,
    pub(crate) grants: Grants,
    pub(crate) disk_cache: DiskCache,
    pub(crate) swept: Mono,
    /// Invariant: true only if this disk has missed no grant that still counts.
    pub(crate) open: bool,
    /// Invariant: on disk before any answer that relies on it; see `may_grant`.
    pub(crate) fence: Version,
    pub(crate) recall: Recall,
    pub(crate) fill: Fill,
    pub(crate) leaving: Leaving,
    pub(crate) replication: Replication,
    pub(crate) boot: Mono,
    pub(crate) written: usize,
    pub(crate) mended: Mono,
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

impl Ledger {
    /// Starts on what the disk holds; `life` is a fresh random number.
    pub fn start(mut env: LedgerEnv, kept: Vec<Kept>, life: u64, now: Mono, out: &mut Vec<Out>) -> Ledger {
        let mut grants = Grants::default();
        let mut disk_cache = DiskCache::new(env.room);
        let mut birth = None;
        let mut open = false;
        let mut fence = Version(0);
        for k in kept {
            match &k {
                Kept::Birth(b) => birth = Some(*b),
                Kept::Open => open = true,
                Kept::Base(b, o, _, copies) | Kept::Whole(b, o, _, _, copies) => {
                    (birth, open) = (Some(*b), *o);
                    if let Kept::Whole(_, _, roll, ..) = &k {
                        fence = *roll;
                    }
                    disk_cache.clear();
                    copies.iter().for_each(|s| disk_cache.put(s.object.clone(), s.clone()));
                }
                Kept::Fence(roll) => fence = fence.max(*roll),
                Kept::Copy(s) => disk_cache.put(s.object.clone(), s.clone()),
                _ => (),
            }
            grants.apply(k, now);
        }
        // Another boot's clock says nothing here.
        disk_cache.drop_where(|_, s| s.boot != env.boot || s.until <= now);
        let new = birth.is_none();
        env.follow.birth = birth.unwrap_or(Birth(life));
        if new {
            out.push(Out::Base(Kept::Birth(env.follow.birth).encode()));
            out.push(Out::Note("the disk is new"));
        }
        let mut ledger = Ledger {
            follow: Follower::new(env.follow.clone()),
            env,
            grants,
            disk_cache,
            swept: now,
            open,
            fence,
            recall: Recall::new(life),
            fill: Fill::default(),
            leaving: Leaving::default(),
            replication: Replication::default(),
            boot: now,
            written: 0,
            mended: now,
            counts: BTreeMap::new(),
        };
        // What was forgotten for room since the last short form is in its records yet.
        ledger.grants.evict_outcomes(ledger.outcome_room());
        ledger
    }

    pub(crate) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    pub(crate) fn save(&mut self, now: Mono, k: Kept, out: &mut Vec<Out>) {
        let b = k.encode();
        self.written += b.len();
        out.push(Out::Save(b));
        if let Kept::Copy(s) = &k {
            self.disk_cache.put(s.object.clone(), s.clone());
        }
        self.grants.apply(k, now);
    }

    fn health(&self, now: Mono) -> Health {
        let why = match (self.follow.leased(now), self.open) {
            (false, _) => "no setup lease",
            (_, false) => "disk is new: grants nothing until it has recalled the keys or the window is over",
            _ => "",
        };
        let mut counts: Vec<_> = self.counts.iter().map(|(k, v)| (*k, *v)).collect();
        counts.push(("keys", self.grants.len() as u64));
        counts.push(("key bytes", self.grants.bytes() as u64));
        counts.push(("copies", self.disk_cache.len() as u64));
        let in_hand = self.leaving.left() as u64;
        Health { ready: why.is_empty(), why, in_hand, counts, ..Health::default() }
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.follow.due(now) {
            self.follow.subscribe(now, &[], Epoch(0), out);
        }
        if now - self.swept >= SWEEP {
            self.swept = now;
            self.grants.drop_old(now, self.env.window);
            self.replicate(now, out);
        }
        if self.written > self.env.compact_after_bytes {
            self.written = 0;
            let (birth, open, fence) = (self.follow.env.birth, self.open, self.fence);
            let short =
                CompactedState { birth, open, fence, grants: &self.grants, disk_cache: &self.disk_cache };
            out.push(Out::Base(short.encode()));
        }
        self.mend(now, out);
        self.recall(now, out);
        self.hand_over(now, out);
        self.sweep_disk_cache(now);
    }

    pub fn id(&self) -> NodeId {
        self.follow.env.id
    }
    /// Keys held now.
    pub fn held(&self) -> usize {
        self.grants.len()
    }
    pub fn is_open(&self) -> bool {
        self.open
    }
}

impl Part for Ledger {
    fn step(&mut self, now: Mono, inp: In, out: &mut Vec<Out>) {
        match inp {
            In::Tick => self.tick(now, out),
            In::Ask(t, ask @ (Ask::Ready | Ask::Drain)) => {
                if matches!(ask, Ask::Drain) {
                    self.begin_to_leave(now, out);
                }
                out.push(Out::Tell(t, NodeReply::Health(self.health(now))));
            }
            In::Ask(t, _) => out.push(Out::Tell(t, NodeReply::Unavailable("not asked of a ledger"))),
            In::Msg(from, m) => match m {
                Msg::Update(n) => {
                    self.follow.on_update(now, from, &n, out);
                    self.maybe_open(now, out);
                }
                Msg::Claim { key, print, round, roll } => {
                    self.on_claim(now, from, KeyClaim { key, print, round, roll }, out)
                }
                Msg::Release { key, round } => self.on_release(now, key, round, out),
                Msg::Outcome { key, print, round, whole } => {
                    self.on_outcome(now, from, Kept::Grant { key, print, round }, whole, out)
                }
                Msg::DiskCacheOffer(ask) => self.on_stock_offer(now, from, ask, out),
                Msg::DiskCachePut(at, p) => self.on_stock_put(now, at, *p, out),
                Msg::CopyQuery { ask, object, .. } => self.on_copy_ask(now, from, ask, object, out),
                Msg::Digests(d) => self.on_digests(now, from, d, out),
                Msg::Ranges(r) => self.on_ranges(now, r, out),
                Msg::Recall { ask, roll, purpose } => self.on_recall(now, from, ask, (roll, purpose), out),
                Msg::Recalled { ask, part, of, held } => {
                    self.on_recalled(now, from, (ask, part, of), held, out)
                }
                Msg::Fill { roll } => self.on_fill(now, from, roll, out),
                Msg::HandOver { ask, held } => self.on_hand_over(now, from, ask, held, out),
                Msg::HandedOver { ask } => {
                    self.on_handed_over(ask);
                    self.on_replicated(now, from, ask, out);
                }
                _ => self.count("stray"),
            },
        }
    }
}
