//! The ledger's state, its start from disk, and the dispatch of its inputs.
use crate::claims::KeyClaim;
use crate::disk_cache::DiskCache;
use crate::fill::Fill;
use crate::grants::*;
use crate::leave::Leaving;
use crate::log_position::{LogForm, LogUse};
use crate::recall::Recall;
use crate::recall_answer::{AnsweredRequest, PageRequest};
use crate::records::*;
use crate::recovered_record::RecoveredRecord;
use crate::recovered_state::RecoveredState;
use crate::replicate::Replication;
use control_state::*;
use primitives::{Addr, Birth, Epoch, Mono, NodeId, Span, Version};
use std::collections::BTreeMap;

/// Settings of one ledger.
#[derive(Clone, Debug)]
pub struct LedgerEnv {
    /// Identity of this node and its subscription to a controller.
    pub follow: FollowerEnv,
    /// How long a key stays granted to its round: the promised minute, plus the time a
    /// granted round may take to leave its edge and to run.
    pub window: Span,
    /// Bytes of appended records after which the state is written as one compacted record.
    pub compact_after_bytes: usize,
    pub log_form: LogForm,
    /// Bytes of cached copies on disk; 0 turns the disk cache off. Together with all keys
    /// they must fit one file of the ring.
    pub room: usize,
    /// Bytes of keys and outcomes above which no key is granted. Together with `room` they
    /// must fit one file of the ring, or the compacted state could not be written.
    pub most: usize,
    /// Bytes of outcomes whose contents stay in memory. Those of a trimmed log are read again when needed.
    pub max_content_bytes: usize,
    /// Identifies the current boot of the machine.
    pub boot: u64,
    /// Disks that may be lost at once without harm; the same at every edge and ledger.
    pub losses: usize,
    /// A granted round must leave its edge within this; the same at every edge and ledger.
    pub leave: Span,
    /// Stores outcomes only at the ledgers that received them: a key is known at all of its
    /// ledgers, its outcome at one more ledger than disks may be lost at once.
    pub minimal_outcome_copies: bool,
}

/// Interval at which expired grants and under-replicated outcomes are looked for.
const SWEEP: Span = Span::ms(250);

/// Plain data without handles: a clone continues exactly as the original would.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub(crate) env: LedgerEnv,
    pub(crate) follow: Follower,
    pub(crate) grants: Grants,
    pub(crate) disk_cache: DiskCache,
    pub(crate) last_sweep: Mono,
    pub(crate) last_cache_sweep: Mono,
    /// Invariant: true only if this disk has missed no grant that is still valid.
    pub(crate) open: bool,
    /// Rounds claimed under an older version of the ledger sets get no grant. Invariant: on
    /// disk before any answer that relies on it; see `may_grant`.
    pub(crate) fence: Version,
    pub(crate) recall: Recall,
    pub(crate) answered_requests: BTreeMap<Addr, AnsweredRequest>,
    pub(crate) fill: Fill,
    pub(crate) leaving: Leaving,
    pub(crate) replication: Replication,
    pub(crate) boot: Mono,
    pub(crate) written: usize,
    pub(crate) log: LogUse,
    pub(crate) last_repair: Mono,
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

impl Ledger {
    /// Starts from the disk's records, oldest first. `life` is a fresh random number: it
    /// becomes the incarnation of a disk that is new.
    pub fn start(
        mut env: LedgerEnv,
        records: Vec<impl Into<RecoveredRecord>>,
        life: u64,
        now: Mono,
        out: &mut Vec<Out>,
    ) -> Ledger {
        let RecoveredState { grants, disk_cache, birth, open, fence, mut log } =
            RecoveredState::read(&env, records, now);
        let is_new = birth.is_none();
        env.follow.birth = birth.unwrap_or(Birth(life));
        if is_new {
            let record = Kept::Birth(env.follow.birth).encode();
            log.append(record.len());
            out.push(Out::Base(record));
            out.push(Out::Note("started on a new disk"));
        }
        let mut ledger = Ledger {
            follow: Follower::new(env.follow.clone()),
            env,
            grants,
            disk_cache,
            last_sweep: now,
            last_cache_sweep: now,
            open,
            fence,
            recall: Recall::new(life),
            answered_requests: BTreeMap::new(),
            fill: Fill::default(),
            leaving: Leaving::default(),
            replication: Replication::default(),
            boot: now,
            written: 0,
            log,
            last_repair: now,
            counts: BTreeMap::new(),
        };
        // Outcomes evicted since the last compaction are still among the records.
        ledger.make_room(0);
        ledger
    }

    pub(crate) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Appends a record to the disk and applies it to the state in memory.
    pub(crate) fn save(&mut self, now: Mono, record: Kept, out: &mut Vec<Out>) {
        let encoded = record.encode();
        self.written += encoded.len();
        let position = self.log.append(encoded.len());
        out.push(Out::Save(encoded));
        if let Kept::Copy(copy) = &record {
            self.disk_cache.put(copy.object.clone(), copy.clone());
        }
        self.grants.apply(record, position, now);
    }

    fn health(&self, now: Mono) -> Health {
        let why = match (self.follow.leased(now), self.open) {
            (false, _) => "no configuration lease",
            (_, false) => "new disk: grants no keys until they are recalled or the key window has passed",
            _ => "",
        };
        let mut counts: Vec<_> = self.counts.iter().map(|(name, count)| (*name, *count)).collect();
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
        if now - self.last_sweep >= SWEEP {
            self.last_sweep = now;
            self.grants.drop_old(now, self.env.window);
            self.replicate(now, out);
        }
        self.shorten_log(out);
        self.repair(now, out);
        self.recall(now, out);
        self.hand_over(now, out);
        self.sweep_disk_cache(now);
    }

    /// The node id of this ledger.
    pub fn id(&self) -> NodeId {
        self.follow.env.id
    }
    /// Number of keys that are granted now.
    pub fn held(&self) -> usize {
        self.grants.len()
    }
    /// Whether this ledger may grant keys: its disk has missed no grant that is still valid.
    pub fn is_open(&self) -> bool {
        self.open
    }
}

impl Part for Ledger {
    fn step(&mut self, now: Mono, inp: In, out: &mut Vec<Out>) {
        match inp {
            In::Tick => self.tick(now, out),
            In::CallerGone(_) => (),
            In::Read(message, records) => self.on_read(*message, records, out),
            In::Ask(token, ask @ (Ask::Ready | Ask::Drain)) => {
                if matches!(ask, Ask::Drain) {
                    self.start_leaving(now, out);
                }
                out.push(Out::Tell(token, NodeReply::Health(self.health(now))));
            }
            In::Ask(token, Ask::MemoryPressure(pressure)) => {
                self.on_memory_pressure(pressure);
                out.push(Out::Tell(token, NodeReply::Health(self.health(now))));
            }
            In::Ask(token, _) => {
                out.push(Out::Tell(token, NodeReply::Unavailable("a ledger does not serve this request")))
            }
            In::Msg(from, m) => match m {
                Msg::Update(update) => {
                    self.follow.on_update(now, from, &update, out);
                    self.maybe_open(now, out);
                }
                Msg::Claim { key, print, round, roll } => {
                    self.on_claim(now, from, KeyClaim { key, print, round, roll }, out)
                }
                Msg::Release { key, round } => self.on_release(now, key, round, out),
                Msg::Outcome { key, print, round, whole } => {
                    self.on_outcome(now, from, Kept::Grant { key, print, round }, whole, out)
                }
                Msg::DiskCacheOffer(ask) => self.on_disk_cache_offer(now, from, ask, out),
                Msg::DiskCachePut(at, put) => self.on_disk_cache_put(now, at, *put, out),
                Msg::CopyQuery { ask, object, .. } => self.on_copy_query(now, from, ask, object, out),
                Msg::Digests(digests) => self.on_digests(now, from, digests, out),
                Msg::Ranges(ranges) => self.on_ranges(now, ranges, out),
                Msg::Recall { ask, roll: version, purpose, after } => {
                    self.on_recall(now, from, PageRequest { ask, version, purpose, after }, out)
                }
                Msg::Recalled { ask, held, next } => self.on_recalled(now, from, (ask, next), held, out),
                Msg::Fill { roll } => self.on_fill(now, from, roll, out),
                Msg::HandOver { ask, held } => self.on_hand_over(now, from, ask, held, out),
                Msg::HandedOver { ask } => {
                    self.on_handed_over(now, from, ask, out);
                    self.on_transfer_confirmed(now, from, ask, out);
                }
                _ => self.count("stray"),
            },
        }
    }
}
