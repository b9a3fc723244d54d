//! One level of a proposed structure, not of the product: a relay takes the controllers' feeds
//! in, numbers them as one line for its children, and counts them together upwards.
//!
//! Invariant: what a relay acknowledges to a controller, each child holds that may serve by a
//! renewal passed on here; and a controller's renewal is passed on only to a child that holds
//! all that the relay had acknowledged to it. So a relay is to its children what a controller
//! is to an edge, and the lease argument holds link by link.
use caesar::MemberId;
use control_state::{Item, Key};
use primitives::{Mono, NodeId, Span, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What a relay sends to its children.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Bundle {
    /// Update: the same bytes for every child.
    Batch {
        /// The number before the first one in it.
        from: u64,
        /// The last number in it.
        to: u64,
        /// The items, in the order of their numbers.
        items: Vec<(Key, Item)>,
    },
    /// The answer to a word that asks for renewal.
    Renew {
        /// When the child asked, by its own clock.
        ask: Mono,
        /// The incarnation that asked.
        life: u64,
        /// The controllers whose renewals are passed on, and for how long from `ask` on.
        lent: Vec<(MemberId, Span)>,
        /// A bit for each origin that was heard lately.
        fresh: Vec<u8>,
    },
}

/// What a child sends to its relay: an acknowledgement, and possibly a request for renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The child.
    pub id: NodeId,
    /// Its incarnation.
    pub life: u64,
    /// The number up to which it holds all.
    pub got: u64,
    /// When it sent this, by its own clock.
    pub ask: Mono,
    /// It asks for renewal; else it only acknowledges.
    pub renew: bool,
}

/// What a relay knows of one controller.
#[derive(Debug, Default)]
struct Controller {
    /// Numbers of its feed that are not yet acknowledged, each with the relay's own number
    /// that covers it.
    cover: VecDeque<(u64, u64)>,
    /// The relay's own number that covers all that was acknowledged to it.
    must: u64,
    /// Until when it has renewed the relay's lease, by the relay's clock.
    until: Mono,
}

/// What a relay knows of one child.
#[derive(Debug, Default)]
struct Child {
    life: u64,
    got: u64,
    /// Until when it may serve by a renewal passed on here, by the relay's clock.
    lent: Mono,
}

/// The state of one relay.
#[derive(Debug, Default)]
pub struct Relay {
    /// The last number given to an item.
    last: u64,
    /// The last number sent to the children.
    sent: u64,
    /// Items not yet sent.
    waiting: Vec<(Key, Item)>,
    newest: BTreeMap<Key, Version>,
    controllers: BTreeMap<MemberId, Controller>,
    children: BTreeMap<NodeId, Child>,
}

impl Relay {
    /// Takes a controller's news, up to a number of its feed; only newer items are passed on.
    pub fn news(&mut self, member_id: MemberId, to: u64, items: Vec<(Key, Item)>) {
        for (key, item) in items {
            let newer = self.newest.get(&key).is_none_or(|version| *version < item.ver);
            if newer {
                self.newest.insert(key.clone(), item.ver);
                self.waiting.push((key, item));
                self.last += 1;
            }
        }
        self.controllers.entry(member_id).or_default().cover.push_back((to, self.last));
    }

    /// A controller renewed this relay's lease, until a time of this relay's clock that is
    /// counted from its asking.
    pub fn renewed(&mut self, member_id: MemberId, until: Mono) {
        let controller = self.controllers.entry(member_id).or_default();
        controller.until = controller.until.max(until);
    }

    /// What has gathered since the last time, as one batch.
    pub fn flush(&mut self) -> Option<Bundle> {
        let items = std::mem::take(&mut self.waiting);
        let from = std::mem::replace(&mut self.sent, self.last);
        (!items.is_empty()).then_some(Bundle::Batch { from, to: self.last, items })
    }

    /// Takes a child's word. If it asks for renewal the answer has the renewals that it may
    /// have; `fresh` is passed on.
    pub fn word(&mut self, now: Mono, word: &Word, fresh: &[u8]) -> Option<Bundle> {
        let child = self.children.entry(word.id).or_default();
        // Another incarnation holds only what it says itself.
        child.got = if child.life == word.life { child.got.max(word.got) } else { word.got };
        child.life = word.life;
        if !word.renew {
            return None;
        }
        let mut lent = vec![];
        for (member_id, controller) in &self.controllers {
            if controller.until > now && child.got >= controller.must {
                // A tenth shorter for the child's clock, whole for this one.
                let left = controller.until - now;
                child.lent = child.lent.max(controller.until);
                lent.push((*member_id, Span(left.0 - left.0 / 10)));
            }
        }
        Some(Bundle::Renew { ask: word.ask, life: word.life, lent, fresh: fresh.to_vec() })
    }

    /// What can now be acknowledged to each controller: the numbers of its feed that all
    /// children hold that may serve.
    pub fn acks(&mut self, now: Mono) -> Vec<(MemberId, u64)> {
        let serving = self.children.values().filter(|child| child.lent > now);
        let held_by_all = serving.map(|child| child.got).min().unwrap_or(self.last);
        let mut acks = vec![];
        for (member_id, controller) in &mut self.controllers {
            acks.extend(controller.acknowledge(held_by_all).map(|feed| (*member_id, feed)));
        }
        acks
    }
}

impl Controller {
    /// The last number of its feed that is covered by `held`, if it is a new one.
    fn acknowledge(&mut self, held: u64) -> Option<u64> {
        let mut last = None;
        while let Some((feed, covering)) = self.cover.front().copied().filter(|(_, number)| *number <= held) {
            self.cover.pop_front();
            self.must = self.must.max(covering);
            last = Some(feed);
        }
        last
    }
}
