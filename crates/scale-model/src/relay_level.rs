//! One relay and its children: the messages between them, each encoded, checked and decoded.
use crate::delivery::FRAME_HEADER;
use crate::meter::*;
use crate::plan::*;
use crate::relay::*;
use crate::state::{controller_addr, service};
use caesar::MemberId;
use control_state::*;
use primitives::{Birth, Mono, NodeId, Span, Version};
use std::collections::BTreeMap;

pub(crate) const ORIGINS: usize = 1800;
const LEASE: Span = Span::secs(10);
const SERVICES: usize = 200;
/// Turns the number of a purge into a scope of a usual length, and back.
const SCOPE_FACTOR: u64 = 7_919;

/// The news of a purge from one controller.
pub(crate) struct PurgeUpdate {
    pub controller: u16,
    pub purge: u64,
}

/// A relay, its children, and what each side has cost.
pub(crate) struct Level {
    meter: Meter,
    relay: Relay,
    pub relay_tally: Tally,
    pub children_tally: Tally,
    /// By child: the items that it holds, and the number up to which it holds all.
    held: Vec<BTreeMap<Key, Item>>,
    got: Vec<u64>,
    /// A bit for each origin that was heard lately.
    fresh: Vec<u8>,
}

fn scope(purge: u64) -> String {
    format!("objects/{:02}/{:012x}", purge % 100, purge * SCOPE_FACTOR)
}

/// The number of the purge with this key.
fn purge_number(key: &Key) -> Option<u64> {
    let Key::Purge(_, scope) = key else { return None };
    let number = u64::from_str_radix(scope.rsplit('/').next()?, 16).ok()?;
    Some(number / SCOPE_FACTOR)
}

/// What a controller pushes for one purge.
fn purge_message(purge: u64, to: u64) -> Msg {
    let member = |i: usize| Member {
        member_id: MemberId(i as u16),
        addr: controller_addr(i),
        http: controller_addr(i),
        zone: "region-00/zone-00".into(),
        birth: Birth(1_000_000_007),
    };
    let item = Item { ver: Version(1 << 32), body: Some(Body::Purge) };
    Msg::Update(Box::new(Update {
        feed: 1,
        from: to - 1,
        to,
        full: false,
        items: vec![(Key::Purge(service(purge as usize % SERVICES), scope(purge)), item)],
        announced: vec![],
        era: Era(1),
        members: (0..CONTROLLERS).map(member).collect(),
        reply: None,
    }))
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

impl Tally {
    fn sent(&mut self, messages: u64, bytes: u64) {
        self.msgs_out += messages;
        self.bytes_out += bytes + messages * FRAME_HEADER;
    }

    fn received(&mut self, messages: u64, bytes: u64) {
        self.msgs_in += messages;
        self.bytes_in += bytes + messages * FRAME_HEADER;
    }
}

impl Level {
    pub(crate) fn new(children: usize) -> Result<Level> {
        Ok(Level {
            meter: Meter::new()?,
            relay: Relay::default(),
            relay_tally: Tally::default(),
            children_tally: Tally::default(),
            held: vec![BTreeMap::new(); children],
            got: vec![0; children],
            fresh: vec![0xff; ORIGINS / 8],
        })
    }

    /// The relay gets a controller's news of a purge, up to a number of its feed.
    pub(crate) fn news(&mut self, news: &PurgeUpdate, to: u64, now: Mono) {
        let bytes = encode(&purge_message(news.purge, to));
        self.relay_tally.received(1, bytes.len() as u64);
        let (relay, controller) = (&mut self.relay, MemberId(news.controller));
        let (_, cost) = self.meter.of(|| {
            crc32fast::hash(&bytes);
            if let Ok(Msg::Update(news)) = postcard::from_bytes(&bytes) {
                relay.news(controller, news.to, news.items);
            }
            relay.renewed(controller, now + LEASE);
        });
        self.relay_tally.cpu += cost;
    }

    /// Sends what gathered to all children; returns the purges in it.
    pub(crate) fn batch(&mut self, now: Mono) -> Vec<u64> {
        let children = self.held.len();
        let relay = &mut self.relay;
        let (bytes, cost) = self.meter.of(|| {
            let bytes = relay.flush().and_then(|batch| postcard::to_stdvec(&batch).ok())?;
            // One encoding for all; the link of each child takes its own copy of the bytes.
            let copy = |_| drop(std::hint::black_box((bytes.clone(), crc32fast::hash(&bytes))));
            (0..children).for_each(copy);
            Some(bytes)
        });
        self.relay_tally.cpu += cost;
        let Some(bytes) = bytes else { return vec![] };
        self.relay_tally.sent(children as u64, (children * bytes.len()) as u64);
        let mut keys = vec![];
        for child in 0..children {
            keys = self.child_batch(child, &bytes);
            self.word(now, child, false);
        }
        keys.iter().filter_map(purge_number).collect()
    }

    /// A child gets a batch; returns the keys that were new to it.
    fn child_batch(&mut self, child: usize, bytes: &[u8]) -> Vec<Key> {
        let (held, got) = (&mut self.held[child], &mut self.got[child]);
        let (keys, cost) = self.meter.of(|| {
            crc32fast::hash(bytes);
            let Ok(Bundle::Batch { from, to, items }) = postcard::from_bytes(bytes) else { return vec![] };
            *got = if from <= *got { to } else { *got };
            let new = items.iter().filter(|(key, item)| merge(held, key, item));
            new.map(|(key, _)| key.clone()).collect()
        });
        self.children_tally.cpu += cost;
        self.children_tally.received(1, bytes.len() as u64);
        keys
    }

    /// A child's word, and the renewal that it gets if it asks for one.
    pub(crate) fn word(&mut self, now: Mono, child: usize, renew: bool) {
        let word = Word { id: NodeId(child as u64), life: 1, got: self.got[child], ask: now, renew };
        let (bytes, cost) = self.meter.of(|| encode(&word));
        self.children_tally.cpu += cost;
        self.children_tally.sent(1, bytes.len() as u64);
        self.relay_tally.received(1, bytes.len() as u64);
        let (relay, fresh) = (&mut self.relay, &self.fresh);
        let (renewal, cost) = self.meter.of(|| {
            crc32fast::hash(&bytes);
            let word = postcard::from_bytes::<Word>(&bytes).ok()?;
            let renewal = postcard::to_stdvec(&relay.word(now, &word, fresh)?).ok()?;
            crc32fast::hash(&renewal);
            Some(renewal)
        });
        self.relay_tally.cpu += cost;
        let Some(renewal) = renewal else { return };
        self.relay_tally.sent(1, renewal.len() as u64);
        self.children_tally.received(1, renewal.len() as u64);
        let (_, cost) =
            self.meter.of(|| (crc32fast::hash(&renewal), postcard::from_bytes::<Bundle>(&renewal)));
        self.children_tally.cpu += cost;
    }

    /// Acknowledges to the controllers what all children hold; whether there was anything.
    pub(crate) fn acknowledge(&mut self, now: Mono) -> bool {
        let relay = &mut self.relay;
        let ((messages, bytes), cost) = self.meter.of(|| {
            let acks = relay.acks(now);
            let ack = |got: u64| encode(&Msg::Got { id: NodeId(0), feed: 1, got }).len() as u64;
            (acks.len() as u64, acks.iter().map(|(_, got)| ack(*got)).sum::<u64>())
        });
        self.relay_tally.cpu += cost;
        self.relay_tally.sent(messages, bytes);
        messages > 0
    }
}
