//! Edges and ledgers that follow this controller: their update streams, and the leases that
//! hang on them.
use crate::controller::Controller;
use crate::update_stream::{DeliveryMode, Piece, UpdateStream, MICROS_A_BYTE, PIECE};
use crate::update_terms::SubscriberCounts;
use caesar::CommandId;
use control_state::*;
use primitives::{Addr, Mono, NodeId, Span};
use std::sync::Arc;

/// A stream is not started anew sooner than this, and what its first piece takes: askings
/// that crossed that piece must not start it once more.
const START_AGAIN: Span = Span::ms(300);
/// The next controller sees to a newcomer if the one before has not within this.
const NEXT_TURN: Span = Span::ms(600);

/// One subscriber. The numbers of its stream are this controller's alone: two controllers
/// may apply commuting commands in different orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscriber {
    pub addr: Option<Addr>,
    pub stream: UpdateStream,
    /// Until when a lease from here may be alive, by this controller's clock.
    pub lease_until: Mono,
    /// Which life of the subscriber the stream is for: what an earlier one acknowledged,
    /// this one may not hold.
    pub life: u64,
    /// The era whose membership the subscriber goes by, as last heard.
    pub era: Era,
    /// When it asked last.
    pub asked: Mono,
    /// The subscriber said last that it leaves.
    pub leaving: bool,
    /// How it wants items.
    pub wanted: DeliveryMode,
}

impl Subscriber {
    /// Known from the state only, with a lease that an earlier process may have given.
    fn unheard(lease_until: Mono) -> Subscriber {
        Subscriber { lease_until, ..Subscriber::default() }
    }
}

impl Controller {
    /// As if every node had been given a lease until then.
    pub(crate) fn assume_leases(&mut self, until: Mono) {
        let node = |key: &Key| if let Key::Node(id) = key { Some(*id) } else { None };
        let nodes = self.state.items.keys().filter_map(node);
        self.subscribers = nodes.map(|id| (id, Subscriber::unheard(until))).collect();
    }

    /// An acknowledgement makes room for the next piece.
    pub(crate) fn on_acknowledgement(
        &mut self,
        now: Mono,
        id: NodeId,
        stream: u64,
        got: u64,
        out: &mut Vec<Out>,
    ) {
        let Some(subscriber) = self.subscribers.get_mut(&id) else { return };
        if stream != 0 && subscriber.stream.id() == stream {
            subscriber.stream.acknowledge(now, got);
            self.push_to(now, id, out);
        }
    }

    /// A subscriber asks: it is answered with whatever it lacks, a lease if it lacks nothing,
    /// heartbeats and lent requests.
    pub(crate) fn on_subscription(&mut self, now: Mono, from: Addr, asked: Sub, out: &mut Vec<Out>) {
        let registered = self.is_registered(&asked);
        self.see_to_newcomer(now, &asked, registered, out);
        let same_stream = self.resume_stream(now, from, &asked);
        self.subscriber_counts = SubscriberCounts::count(self.subscribers.values().map(|s| s.wanted));
        let lent = registered && same_stream && self.renew_lease(now, &asked);
        let reply = self.reply(now, &asked, lent);
        let Some(mut subscriber) = self.subscribers.remove(&asked.id) else { return };
        let piece = self.next_piece(now, &mut subscriber);
        subscriber.era = asked.era;
        out.push(Out::Send(from, self.update_message(&subscriber, piece, Some(reply))));
        self.push_stream(now, &mut subscriber, out);
        self.subscribers.insert(asked.id, subscriber);
    }

    fn is_registered(&self, asked: &Sub) -> bool {
        let same =
            |n: &Node| n.birth == asked.node.birth && n.addr == asked.node.addr && n.role == asked.node.role;
        self.state.node(&asked.id).is_some_and(same)
    }

    fn see_to_newcomer(&mut self, now: Mono, asked: &Sub, registered: bool, out: &mut Vec<Out>) {
        if registered {
            self.newcomers.remove(&asked.id);
            return;
        }
        let leaving = asked.node.standing == Standing::Leaving;
        if !leaving && self.connected(now) && self.my_turn(now, asked) {
            self.derive(now, Op::Join(asked.id, asked.node.clone()), out);
        }
    }

    /// One controller sees to a newcomer, or many of them would propose the same; the next
    /// ones step in if it does not.
    fn my_turn(&mut self, now: Mono, asked: &Sub) -> bool {
        let since = *self.newcomers.entry(asked.id).or_insert(now);
        let member_ids: Vec<_> = self.base.members.iter().map(|m| m.member_id).collect();
        let order = primitives::rank(&asked.id, &member_ids, |k| k.0 as u64);
        let place = order.iter().position(|k| *k == self.member_id).unwrap_or(0) as u64;
        now - since >= NEXT_TURN.times(place)
    }

    /// Goes on with the stream that the subscriber names, or starts one anew; whether it
    /// named the present one.
    fn resume_stream(&mut self, now: Mono, from: Addr, asked: &Sub) -> bool {
        // The whole state would show what is not yet to be seen.
        let may_start = self.may_expose_state() && self.may_start_streams(now);
        let wait = self.start_again_after();
        let subscriber = self.subscribers.entry(asked.id).or_default();
        subscriber.addr = Some(from);
        subscriber.leaving = asked.node.standing == Standing::Leaving;
        let wanted = if asked.source { DeliveryMode::Whole } else { DeliveryMode::Announced };
        if std::mem::replace(&mut subscriber.wanted, wanted) != wanted && asked.source {
            subscriber.stream.rewind();
        }
        let stream = &mut subscriber.stream;
        let same = stream.is_started() && asked.feed == stream.id() && asked.life == subscriber.life;
        if same {
            subscriber.era = asked.era;
            stream.acknowledge(now, asked.got);
            stream.retry(now);
        } else if may_start && stream.may_start(now, wait) {
            self.last_stream += 1;
            stream.start(now, self.last_stream, self.all_keys.of(&self.state));
            subscriber.life = asked.life;
            subscriber.era = asked.era;
        }
        same
    }

    fn start_again_after(&self) -> Span {
        let state = self.log.state_now(self.consensus.as_ref().map_or(0, |m| m.bytes()));
        START_AGAIN + Span(state.min(PIECE) as u64 * MICROS_A_BYTE)
    }

    /// A lease goes only to a subscriber that holds all this controller applied, and
    /// goes by no earlier membership; see `landing`.
    fn renew_lease(&mut self, now: Mono, asked: &Sub) -> bool {
        let recently_reached_peer = self.recently_reached_peer(now) && self.caught_up();
        let era = self.base.era;
        let until = now + self.env.lease.padded();
        let Some(subscriber) = self.subscribers.get_mut(&asked.id) else { return false };
        let renewed = recently_reached_peer && asked.era >= era && !subscriber.stream.is_behind();
        if renewed {
            subscriber.lease_until = subscriber.lease_until.max(until);
        }
        renewed
    }

    fn reply(&mut self, now: Mono, asked: &Sub, lent: bool) -> Reply {
        self.subscribers.entry(asked.id).or_default().asked = now;
        let is_edge = asked.node.role == Role::Edge;
        // A time of another clock, of who was at this address before, says nothing.
        let told = Some(asked.heard).filter(|heard| *heard <= now).unwrap_or_default();
        Reply {
            ask: asked.ask,
            life: asked.life,
            member_id: self.member_id,
            lent,
            at: asked.source.then_some(now),
            beats: self.heartbeats_since(now, told).filter(|_| is_edge && asked.source).collect(),
            slices: self.lend(now, asked),
            epoch: self.leadership.held_epoch(now),
        }
    }

    /// The next piece of a stream, if anything may be shown at all.
    fn next_piece(&self, now: Mono, to: &mut Subscriber) -> Option<Piece> {
        if to.stream.is_sent() || !(self.heard_from_quorum() && self.earlier_memberships_retired()) {
            return None;
        }
        let seen = |key: &Key, cid| self.is_visible(key, cid);
        let terms = self.subscriber_counts.terms(to.wanted);
        to.stream.next_piece(now, &self.state, terms, seen)
    }

    fn update_message(&self, to: &Subscriber, piece: Option<Piece>, reply: Option<Reply>) -> Msg {
        let (era, position) = (self.base.era, to.stream.position());
        let (items, announced) = (vec![], vec![]);
        let nothing = Piece { from: position, to: position, starts: false, items, announced };
        let piece = piece.unwrap_or(nothing);
        Msg::Update(Box::new(Update {
            feed: to.stream.id(),
            from: piece.from,
            to: piece.to,
            full: piece.starts,
            items: piece.items,
            announced: piece.announced,
            era,
            members: if to.era < era { self.base.members.clone() } else { vec![] },
            reply,
        }))
    }

    /// Sends one subscriber what it may see and was not sent, as far as its window allows.
    fn push_stream(&self, now: Mono, subscriber: &mut Subscriber, out: &mut Vec<Out>) -> u64 {
        let Some(addr) = subscriber.addr else { return 0 };
        let mut pushed = 0;
        while let Some(piece) = self.next_piece(now, subscriber) {
            out.push(Out::Send(addr, self.update_message(subscriber, Some(piece), None)));
            pushed += 1;
        }
        pushed
    }

    pub(crate) fn push_to(&mut self, now: Mono, id: NodeId, out: &mut Vec<Out>) {
        let Some(mut subscriber) = self.subscribers.remove(&id) else { return };
        let pushed = self.push_stream(now, &mut subscriber, out);
        self.subscribers.insert(id, subscriber);
        *self.counts.entry("pushes").or_default() += pushed;
    }

    /// Sends every subscriber what it may see, in the order of its numbers.
    pub(crate) fn push(&mut self, now: Mono, out: &mut Vec<Out>) {
        let mut all = std::mem::take(&mut self.subscribers);
        let pushed: u64 = all.values_mut().map(|s| self.push_stream(now, s, out)).sum();
        self.subscribers = all;
        *self.counts.entry("pushes").or_default() += pushed;
    }

    /// Numbers changed keys for every subscriber, so that no lease is renewed without them.
    pub(crate) fn number(&mut self, changed: &[Key], cid: Option<CommandId>) {
        self.lending.changed(changed);
        let keys: Arc<[Key]> = changed.into();
        self.subscribers.values_mut().for_each(|s| s.stream.append(&keys, cid));
    }

    /// Who with a live lease from here lacks what was applied so far, and up to which number.
    pub(crate) fn lacking(&self, now: Mono) -> Vec<(NodeId, u64)> {
        let lacks = |s: &Subscriber| s.lease_until > now && s.stream.is_behind();
        let lacking = self.subscribers.iter().filter(|(_, s)| lacks(s));
        lacking.map(|(id, s)| (*id, s.stream.last())).collect()
    }

    /// Whether the subscriber holds all up to a number, or its lease ran out.
    pub(crate) fn has_caught_up(&self, now: Mono, id: NodeId, number: u64) -> bool {
        let done = |s: &Subscriber| s.lease_until <= now || s.stream.holds(number);
        self.subscribers.get(&id).is_none_or(done)
    }
}
