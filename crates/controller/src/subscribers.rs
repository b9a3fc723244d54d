//! Subscribers (edges and ledgers): their update streams, and the leases that depend on them.
use crate::controller::Controller;
use crate::update_stream::{DeliveryMode, Piece, UpdateStream, MAX_PIECE_BYTES, MICROS_PER_BYTE};
use crate::update_terms::SubscriberCounts;
use caesar::CommandId;
use control_state::*;
use primitives::{Addr, Mono, NodeId, Span};
use std::sync::Arc;

/// Minimum time between two starts of a stream, plus the transfer time of its first piece: a
/// subscription that crossed that piece on the network must not restart the stream.
const RESTART_DELAY: Span = Span::ms(300);
/// Time after which the next controller in order proposes a newcomer's join if the previous one has not.
const TURN_DURATION: Span = Span::ms(600);

/// One subscriber. Its sequence numbers are valid at this controller only: two controllers may apply
/// commuting commands in different orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscriber {
    pub addr: Option<Addr>,
    pub stream: UpdateStream,
    /// When the last lease granted here has certainly expired, by this controller's clock.
    pub lease_until: Mono,
    /// Process incarnation that the stream is for: a new one may lack what an earlier one acknowledged.
    pub incarnation: u64,
    /// The era of the membership that the subscriber uses, as last reported.
    pub era: Era,
    /// When its last subscription message came; zero if none came.
    pub asked: Mono,
    /// Its last subscription message said that it is leaving.
    pub leaving: bool,
    /// How it receives items.
    pub delivery_mode: DeliveryMode,
}

impl Subscriber {
    /// Known from the control state only; an earlier process here may have granted it a lease.
    fn with_assumed_lease(lease_until: Mono) -> Subscriber {
        Subscriber { lease_until, ..Subscriber::default() }
    }
}

impl Controller {
    /// Treats every node of the state as holding a lease until `until`.
    pub(crate) fn assume_leases(&mut self, until: Mono) {
        let node = |key: &Key| if let Key::Node(id) = key { Some(*id) } else { None };
        let nodes = self.state.items.keys().filter_map(node);
        self.subscribers = nodes.map(|id| (id, Subscriber::with_assumed_lease(until))).collect();
    }

    /// Handles an acknowledgement, which may open the window for the next piece.
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

    /// Handles a subscription message. The reply holds updates that the subscriber lacks, a lease renewal
    /// if it lacks none, heartbeats and borrowed tokens.
    pub(crate) fn on_subscription(&mut self, now: Mono, from: Addr, request: Sub, out: &mut Vec<Out>) {
        let registered = self.is_registered(&request);
        self.propose_join_of_newcomer(now, &request, registered, out);
        let same_stream = self.resume_stream(now, from, &request);
        self.subscriber_counts = SubscriberCounts::count(self.subscribers.values().map(|s| s.delivery_mode));
        let lent = registered && same_stream && self.renew_lease(now, &request);
        let reply = self.reply(now, &request, lent);
        let Some(mut subscriber) = self.subscribers.remove(&request.id) else { return };
        let piece = self.next_piece(now, &mut subscriber);
        subscriber.era = request.era;
        out.push(Out::Send(from, self.update_message(&subscriber, piece, Some(reply))));
        self.push_stream(now, &mut subscriber, out);
        self.subscribers.insert(request.id, subscriber);
    }

    fn is_registered(&self, sub: &Sub) -> bool {
        let same = |n: &Node| n.birth == sub.node.birth && n.addr == sub.node.addr && n.role == sub.node.role;
        self.state.node(&sub.id).is_some_and(same)
    }

    fn propose_join_of_newcomer(&mut self, now: Mono, request: &Sub, registered: bool, out: &mut Vec<Out>) {
        if registered {
            self.newcomers.remove(&request.id);
            return;
        }
        let leaving = request.node.standing == Standing::Leaving;
        if !leaving && self.connected(now) && self.is_my_turn(now, request) {
            self.derive(now, Op::Join(request.id, request.node.clone()), out);
        }
    }

    /// Whether this controller has to propose the join of a newcomer. One controller does so, to avoid
    /// duplicate proposals; the others follow one by one in case it does not.
    fn is_my_turn(&mut self, now: Mono, request: &Sub) -> bool {
        let since = *self.newcomers.entry(request.id).or_insert(now);
        let member_ids: Vec<_> = self.base.members.iter().map(|m| m.member_id).collect();
        let order = primitives::rank(&request.id, &member_ids, |id| id.0 as u64);
        let place = order.iter().position(|id| *id == self.member_id).unwrap_or(0) as u64;
        now - since >= TURN_DURATION.times(place)
    }

    /// Continues the stream that the subscriber names, or starts one. Returns whether it named this stream.
    fn resume_stream(&mut self, now: Mono, from: Addr, request: &Sub) -> bool {
        // A new stream sends the whole state, so all of it must be confirmed first.
        let may_start = self.may_expose_state() && self.may_start_streams(now);
        let wait = self.restart_delay();
        let subscriber = self.subscribers.entry(request.id).or_default();
        subscriber.addr = Some(from);
        subscriber.leaving = request.node.standing == Standing::Leaving;
        let mode = if request.source { DeliveryMode::Whole } else { DeliveryMode::Announced };
        if std::mem::replace(&mut subscriber.delivery_mode, mode) != mode && request.source {
            subscriber.stream.rewind();
        }
        let stream = &mut subscriber.stream;
        let same =
            stream.is_started() && request.feed == stream.id() && request.life == subscriber.incarnation;
        if same {
            subscriber.era = request.era;
            stream.acknowledge(now, request.got);
            stream.retry(now);
        } else if may_start && stream.may_start(now, wait) {
            self.last_stream += 1;
            stream.start(now, self.last_stream, self.all_keys.of(&self.state));
            subscriber.incarnation = request.life;
            subscriber.era = request.era;
        }
        same
    }

    fn restart_delay(&self) -> Span {
        let state = self.log.state_now(self.consensus.as_ref().map_or(0, |m| m.bytes()));
        RESTART_DELAY + Span(state.min(MAX_PIECE_BYTES) as u64 * MICROS_PER_BYTE)
    }

    /// Renews a lease only for a subscriber that holds everything this controller applied and that does
    /// not use an earlier membership; see `retired_memberships`.
    fn renew_lease(&mut self, now: Mono, request: &Sub) -> bool {
        let may_renew = self.recently_reached_peer(now) && self.caught_up();
        let era = self.base.era;
        let until = now + self.env.lease.padded();
        let Some(subscriber) = self.subscribers.get_mut(&request.id) else { return false };
        let renewed = may_renew && request.era >= era && !subscriber.stream.is_behind();
        if renewed {
            subscriber.lease_until = subscriber.lease_until.max(until);
        }
        renewed
    }

    fn reply(&mut self, now: Mono, request: &Sub, lent: bool) -> Reply {
        self.subscribers.entry(request.id).or_default().asked = now;
        let is_edge = request.node.role == Role::Edge;
        // A time in the future comes from the clock of an earlier process at this address: ignored.
        let last_reply = Some(request.heard).filter(|heard| *heard <= now).unwrap_or_default();
        Reply {
            ask: request.ask,
            life: request.life,
            member_id: self.member_id,
            lent,
            at: request.source.then_some(now),
            beats: self.heartbeats_since(now, last_reply).filter(|_| is_edge && request.source).collect(),
            slices: self.lend(now, request),
            epoch: self.leadership.held_epoch(now),
        }
    }

    /// The next piece of a stream, if this controller may expose updates at all.
    fn next_piece(&self, now: Mono, to: &mut Subscriber) -> Option<Piece> {
        if to.stream.is_sent() || !(self.heard_from_quorum() && self.earlier_memberships_retired()) {
            return None;
        }
        let is_visible = |key: &Key, cid| self.is_visible(key, cid);
        let terms = self.subscriber_counts.terms(to.delivery_mode);
        to.stream.next_piece(now, &self.state, terms, is_visible)
    }

    fn update_message(&self, to: &Subscriber, piece: Option<Piece>, reply: Option<Reply>) -> Msg {
        let (era, position) = (self.base.era, to.stream.position());
        let (items, announced) = (vec![], vec![]);
        let empty = Piece { from: position, to: position, starts: false, items, announced };
        let piece = piece.unwrap_or(empty);
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

    /// Sends unsent visible updates as far as the window allows. Returns the number of pieces sent.
    fn push_stream(&self, now: Mono, subscriber: &mut Subscriber, out: &mut Vec<Out>) -> u64 {
        let Some(addr) = subscriber.addr else { return 0 };
        let mut pushed = 0;
        while let Some(piece) = self.next_piece(now, subscriber) {
            out.push(Out::Send(addr, self.update_message(subscriber, Some(piece), None)));
            pushed += 1;
        }
        pushed
    }

    /// Sends one subscriber its unsent visible updates.
    pub(crate) fn push_to(&mut self, now: Mono, id: NodeId, out: &mut Vec<Out>) {
        let Some(mut subscriber) = self.subscribers.remove(&id) else { return };
        let pushed = self.push_stream(now, &mut subscriber, out);
        self.subscribers.insert(id, subscriber);
        *self.counts.entry("pushes").or_default() += pushed;
    }

    /// Sends every subscriber its unsent visible updates, in the order of their sequence numbers.
    pub(crate) fn push(&mut self, now: Mono, out: &mut Vec<Out>) {
        let mut all = std::mem::take(&mut self.subscribers);
        let pushed: u64 = all.values_mut().map(|s| self.push_stream(now, s, out)).sum();
        self.subscribers = all;
        *self.counts.entry("pushes").or_default() += pushed;
    }

    /// Appends changed keys to every stream, so that no lease is renewed without them.
    pub(crate) fn number(&mut self, changed: &[Key], cid: Option<CommandId>) {
        self.lending.changed(changed);
        let keys: Arc<[Key]> = changed.into();
        self.subscribers.values_mut().for_each(|s| s.stream.append(&keys, cid));
    }

    /// Subscribers that may hold a lease from here and lack an applied update, each with the sequence
    /// number that it has to reach.
    pub(crate) fn lagging(&self, now: Mono) -> Vec<(NodeId, u64)> {
        let lacks = |s: &Subscriber| s.lease_until > now && s.stream.is_behind();
        let lagging = self.subscribers.iter().filter(|(_, s)| lacks(s));
        lagging.map(|(id, s)| (*id, s.stream.last())).collect()
    }

    /// Whether the subscriber holds everything up to a sequence number, or its lease has expired.
    pub(crate) fn has_caught_up(&self, now: Mono, id: NodeId, number: u64) -> bool {
        let caught_up = |s: &Subscriber| s.lease_until <= now || s.stream.holds(number);
        self.subscribers.get(&id).is_none_or(caught_up)
    }
}
