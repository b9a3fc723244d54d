//! Following the controllers, as edges and ledgers do: numbered news, merged by
//! version, and the setup lease.
use crate::digest::ItemsDigest;
use crate::items::*;
use crate::message::*;
use crate::part::Out;
use crate::purges::is_expired_purge;
use crate::source::Source;
use crate::state::Era;
use crate::subscription::{Sub, Update};
use crate::update_streams::UpdateStreams;
use caesar::MemberId;
use primitives::{Addr, Birth, Epoch, Mono, NodeId, Span};
use std::collections::{BTreeMap, BTreeSet};

/// What a follower is told about itself.
#[derive(Clone, Debug)]
pub struct FollowerEnv {
    pub id: NodeId,
    pub role: Role,
    pub addr: Addr,
    pub http: Addr,
    pub zone: Zone,
    pub seeds: Vec<Addr>,
    /// An edge's life, or the life of a ledger's disk.
    pub birth: Birth,
    /// This process's life; renewals asked for by an earlier one lend nothing.
    pub life: u64,
    pub lease: Span,
    /// See `Node`.
    pub capacity: u32,
    /// Goes on without a lease once it has held one: a deployment's choice of
    /// serving while out of touch over denying; see `docs/in-force.md`.
    pub serve_without_lease: bool,
}

#[derive(Clone, Debug)]
pub struct Follower {
    pub env: FollowerEnv,
    pub era: Era,
    /// Invariant: all that was decided before this era is held: a controller in it renewed
    /// the lease, which it does only for one who holds all that it applied.
    pub sure: Era,
    pub members: Vec<Member>,
    /// Invariant: each item's version only grows.
    pub items: BTreeMap<Key, Item>,
    /// Until when each controller's renewal carries the lease, counted from our asking.
    leases: BTreeMap<MemberId, Mono>,
    feeds: UpdateStreams,
    source: Source,
    asked: Mono,
    /// Held the lease at some time of this life: then it holds all that an earlier life
    /// may have shown.
    touched: bool,
    /// What it says of itself: one that leaves wants no place any more.
    pub standing: Standing,
}

const EVERY: Span = Span::ms(200);

impl Follower {
    pub fn new(env: FollowerEnv) -> Follower {
        Follower {
            env,
            era: Era(0),
            sure: Era(0),
            members: vec![],
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            feeds: UpdateStreams::default(),
            source: Source::default(),
            asked: Mono(0),
            touched: false,
            standing: Standing::Serving,
        }
    }

    /// Of what it holds.
    pub fn digest(&self) -> ItemsDigest {
        ItemsDigest::of(self.era, &self.items)
    }

    pub fn due(&self, now: Mono) -> bool {
        now - self.asked >= EVERY
    }

    /// Whether it serves at all, lease or not.
    pub fn leased_until(&self) -> Mono {
        let on = self.env.serve_without_lease && self.touched;
        if on {
            Mono(u64::MAX >> 1)
        } else {
            self.lease_quorum_until()
        }
    }

    /// Until when the lease holds: so many controllers carry it that they meet every
    /// classic quorum. Of an empty roster nothing does.
    pub fn lease_quorum_until(&self) -> Mono {
        if self.members.is_empty() {
            return Mono(0);
        }
        let need = caesar::blocking_quorum(self.members.len());
        let mut v: Vec<Mono> =
            self.members.iter().filter_map(|m| self.leases.get(&m.member_id)).copied().collect();
        v.sort_by(|a, b| b.cmp(a));
        need.checked_sub(1).and_then(|i| v.get(i)).copied().unwrap_or_default()
    }

    pub fn leased(&self, now: Mono) -> bool {
        !self.members.is_empty() && self.leased_until() > now
    }

    /// This node as the control state knows it, if in this very life.
    pub fn own_node(&self) -> Option<&Node> {
        match self.items.get(&Key::Node(self.env.id))?.body.as_ref()? {
            Body::Node(n) => Some(n).filter(|n| n.birth == self.env.birth),
            _ => None,
        }
    }

    /// Asks every controller it knows of for news, a renewal, beats and slices.
    pub fn subscribe(&mut self, now: Mono, wants: &[(Svc, u32)], epoch: Epoch, out: &mut Vec<Out>) {
        self.asked = now;
        self.source.choose(now, &self.env, &self.members);
        // Without a lease the seeds are asked too: the roster may have moved on.
        let lost = self.lease_quorum_until() <= now;
        let seeds = self.env.seeds.iter().copied().filter(|_| lost);
        let all: BTreeSet<Addr> = self.members.iter().map(|m| m.addr).chain(seeds).collect();
        out.extend(all.into_iter().map(|a| self.sub(now, a, wants, epoch)));
    }

    /// One asking, of one controller.
    pub fn sub(&self, now: Mono, to: Addr, wants: &[(Svc, u32)], epoch: Epoch) -> Out {
        let (feed, got) = self.feeds.position(&to);
        let e = &self.env;
        let node = Node {
            role: e.role,
            addr: e.addr,
            http: e.http,
            zone: e.zone.clone(),
            birth: e.birth,
            standing: self.standing,
            capacity: e.capacity,
        };
        let era = self.era;
        let (heard, source) = (self.source.heartbeats_until(&to), self.source.is_source(&to));
        let (ask, life, wants) = (now, e.life, wants.to_vec());
        let sub = Sub { id: e.id, node, era, feed, got, ask, life, heard, source, wants, epoch };
        Out::Send(to, Msg::Sub(Box::new(sub)))
    }

    /// Takes news in; returns what is newer than what was held.
    pub fn on_update(&mut self, now: Mono, from: Addr, n: &Update, out: &mut Vec<Out>) -> Vec<Key> {
        if n.era >= self.era && !n.members.is_empty() {
            self.era = n.era;
            self.members = n.members.clone();
        }
        // Out of order it is still news, for versions sort it; only the number
        // acknowledged must have no gap.
        let new: Vec<Key> =
            n.items.iter().filter(|(k, it)| merge(&mut self.items, k, it)).map(|(k, _)| k.clone()).collect();
        let era = self.era;
        self.items.retain(|k, it| !is_expired_purge(era, k, it));
        // Whoever holds all may be lent the lease: it asks at once.
        if n.full {
            self.asked = Mono(0);
        }
        self.feeds.take(from, n);
        let id = self.env.id;
        let due = self.feeds.settle(&self.items).into_iter();
        out.extend(due.map(|held| Out::Send(held.by, Msg::Got { id, feed: held.feed, got: held.got })));
        let reply = n.reply.as_ref().filter(|r| r.life == self.env.life);
        self.source.note_missing_items(now, self.feeds.has_missing_items(), !new.is_empty());
        reply.into_iter().for_each(|r| self.source.on_reply(now, from, r));
        if let Some(r) = reply.filter(|r| r.lent) {
            self.sure = self.sure.max(n.era);
            let l = self.leases.entry(r.member_id).or_default();
            *l = (*l).max(r.ask + self.env.lease);
            self.touched |= self.lease_quorum_until() > Mono(0);
        }
        new
    }
}

/// Takes the newer of two versions of an item; true if `new` was newer.
/// Invariant: the only way an edge's table changes, hence it never goes back.
pub fn merge(items: &mut BTreeMap<Key, Item>, k: &Key, new: &Item) -> bool {
    let newer = items.get(k).is_none_or(|was| was.ver < new.ver);
    if newer {
        items.insert(k.clone(), new.clone());
    }
    newer
}
