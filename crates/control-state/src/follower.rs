//! How edges and ledgers follow the controllers: numbered updates, merged by version, and the lease
//! without which a node does not serve.
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

/// Settings of a follower.
#[derive(Clone, Debug)]
pub struct FollowerEnv {
    pub id: NodeId,
    pub role: Role,
    pub addr: Addr,
    pub http: Addr,
    pub zone: Zone,
    /// Controllers to ask while no membership is known or there is no lease.
    pub seeds: Vec<Addr>,
    /// Incarnation of an edge's process, or of a ledger's disk.
    pub birth: Birth,
    /// Incarnation of this process; replies to requests of an earlier one renew nothing.
    pub life: u64,
    /// Duration of the lease.
    pub lease: Span,
    /// See `Node`.
    pub capacity: u32,
    /// Continue to serve without a lease once one was held: a deployment can choose to serve rather
    /// than deny while disconnected; see `docs/in-force.md`.
    pub serve_without_lease: bool,
}

/// What an edge or ledger holds of the control state, and its lease.
#[derive(Clone, Debug)]
pub struct Follower {
    pub env: FollowerEnv,
    pub era: Era,
    /// Invariant: everything that was decided before this era is held. A controller in this era has
    /// renewed the lease, which it does only for a follower that holds all that it has applied.
    pub sure: Era,
    pub members: Vec<Member>,
    /// Invariant: each item's version only grows.
    pub items: BTreeMap<Key, Item>,
    /// Until when the renewal of each controller is valid, counted from our request.
    leases: BTreeMap<MemberId, Mono>,
    update_streams: UpdateStreams,
    source: Source,
    /// When subscription requests were sent last; 0 to send the next ones at once.
    last_request: Mono,
    /// Whether this incarnation has held the lease: then it holds all that an earlier incarnation
    /// may have shown to callers.
    has_held_lease: bool,
    /// As it reports itself: a leaving node is not to be given any role.
    pub standing: Standing,
}

/// Interval of subscription requests.
const SUBSCRIPTION_INTERVAL: Span = Span::ms(200);

impl Follower {
    pub fn new(env: FollowerEnv) -> Follower {
        Follower {
            env,
            era: Era(0),
            sure: Era(0),
            members: vec![],
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            update_streams: UpdateStreams::default(),
            source: Source::default(),
            last_request: Mono(0),
            has_held_lease: false,
            standing: Standing::Serving,
        }
    }

    /// Digest of the items it holds.
    pub fn digest(&self) -> ItemsDigest {
        ItemsDigest::of(self.era, &self.items)
    }

    /// Whether the next subscription requests are due.
    pub fn due(&self, now: Mono) -> bool {
        now - self.last_request >= SUBSCRIPTION_INTERVAL
    }

    /// Until when the node may serve: the end of the lease, or without end if it may continue to
    /// serve without a lease.
    pub fn leased_until(&self) -> Mono {
        let unlimited = self.env.serve_without_lease && self.has_held_lease;
        if unlimited {
            Mono(u64::MAX >> 1)
        } else {
            self.lease_quorum_until()
        }
    }

    /// Until when the lease is valid: until then, so many controllers have renewed it that they
    /// intersect every classic quorum. Without members there is no lease.
    pub fn lease_quorum_until(&self) -> Mono {
        if self.members.is_empty() {
            return Mono(0);
        }
        let needed = caesar::blocking_quorum(self.members.len());
        let mut renewals: Vec<Mono> =
            self.members.iter().filter_map(|member| self.leases.get(&member.member_id)).copied().collect();
        renewals.sort_by(|one, other| other.cmp(one));
        needed.checked_sub(1).and_then(|index| renewals.get(index)).copied().unwrap_or_default()
    }

    /// Whether the node may serve now; see `leased_until`.
    pub fn leased(&self, now: Mono) -> bool {
        !self.members.is_empty() && self.leased_until() > now
    }

    /// This node in the control state, if it is registered with this incarnation.
    pub fn own_node(&self) -> Option<&Node> {
        match self.items.get(&Key::Node(self.env.id))?.body.as_ref()? {
            Body::Node(node) => Some(node).filter(|node| node.birth == self.env.birth),
            _ => None,
        }
    }

    /// Asks every known controller for updates, a renewal of the lease, heartbeats and borrowed
    /// tokens.
    pub fn subscribe(&mut self, now: Mono, wants: &[(Svc, u32)], epoch: Epoch, out: &mut Vec<Out>) {
        self.last_request = now;
        self.source.choose(now, &self.env, &self.members);
        // Without a lease the seeds are asked too: the membership may have changed.
        let unleased = self.lease_quorum_until() <= now;
        let seeds = self.env.seeds.iter().copied().filter(|_| unleased);
        let controllers: BTreeSet<Addr> =
            self.members.iter().map(|member| member.addr).chain(seeds).collect();
        out.extend(controllers.into_iter().map(|addr| self.sub(now, addr, wants, epoch)));
    }

    /// The subscription request to one controller.
    pub fn sub(&self, now: Mono, to: Addr, wants: &[(Svc, u32)], epoch: Epoch) -> Out {
        let (feed, got) = self.update_streams.position(&to);
        let env = &self.env;
        let node = Node {
            role: env.role,
            addr: env.addr,
            http: env.http,
            zone: env.zone.clone(),
            birth: env.birth,
            standing: self.standing,
            capacity: env.capacity,
        };
        let era = self.era;
        let (heard, source) = (self.source.heartbeats_until(&to), self.source.is_source(&to));
        let (ask, life, wants) = (now, env.life, wants.to_vec());
        let sub = Sub { id: env.id, node, era, feed, got, ask, life, heard, source, wants, epoch };
        Out::Send(to, Msg::Sub(Box::new(sub)))
    }

    /// Merges an update; returns the keys of the items that were newer than those held.
    pub fn on_update(&mut self, now: Mono, from: Addr, update: &Update, out: &mut Vec<Out>) -> Vec<Key> {
        if update.era >= self.era && !update.members.is_empty() {
            self.era = update.era;
            self.members = update.members.clone();
        }
        // Items are merged by version, so an update is useful out of order too; only the number that
        // is acknowledged must leave no gap.
        let newer: Vec<Key> = update
            .items
            .iter()
            .filter(|(key, item)| merge(&mut self.items, key, item))
            .map(|(key, _)| key.clone())
            .collect();
        let era = self.era;
        self.items.retain(|key, item| !is_expired_purge(era, key, item));
        // Whoever holds the complete state may get the lease: ask for it at once.
        if update.full {
            self.last_request = Mono(0);
        }
        self.update_streams.record(from, update);
        let id = self.env.id;
        let due = self.update_streams.advance_all(&self.items).into_iter();
        out.extend(due.map(|ack| Out::Send(ack.to, Msg::Got { id, feed: ack.feed, got: ack.got })));
        let reply = update.reply.as_ref().filter(|reply| reply.life == self.env.life);
        self.source.note_missing_items(now, self.update_streams.has_missing_items(), !newer.is_empty());
        reply.into_iter().for_each(|reply| self.source.on_reply(now, from, reply));
        if let Some(reply) = reply.filter(|reply| reply.lent) {
            self.sure = self.sure.max(update.era);
            let lease = self.leases.entry(reply.member_id).or_default();
            *lease = (*lease).max(reply.ask + self.env.lease);
            self.has_held_lease |= self.lease_quorum_until() > Mono(0);
        }
        newer
    }
}

/// Stores an item if it is newer than the one held; returns whether it was. Invariant: this is the
/// only way in which the items of an edge change, so their versions never decrease.
pub fn merge(items: &mut BTreeMap<Key, Item>, key: &Key, new: &Item) -> bool {
    let newer = items.get(key).is_none_or(|held| held.ver < new.ver);
    if newer {
        items.insert(key.clone(), new.clone());
    }
    newer
}
