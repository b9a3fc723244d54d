//! Heartbeats of origins. They are soft state, relayed between controllers; only registration,
//! drain and removal are agreed commands.
use crate::controller::Controller;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span, Token};
use std::collections::BTreeMap;

/// Heartbeats older than this are discarded.
const HEARTBEAT_RETENTION: Span = Span::secs(10);

/// The latest `OriginHeartbeat` of an origin.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedHeartbeat {
    /// What was received, and the earliest time at which it may have been sent.
    pub last: (OriginHeartbeat, Mono),
    /// When this controller received it.
    pub received: Mono,
}

impl ReceivedHeartbeat {
    /// The `OriginHeartbeat` itself.
    pub(crate) fn beat(&self) -> &OriginHeartbeat {
        &self.last.0
    }

    /// The earliest time at which it may have been sent.
    pub(crate) fn sent(&self) -> Mono {
        self.last.1
    }
}

/// Detects pauses of this process, and dates messages that waited in a queue or on a link.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last_step: Mono,
    /// Start and end of the last long pause.
    pause: (Mono, Mono),
    /// Clocks of the other controllers, as last received; echoed back to them.
    clocks: BTreeMap<Addr, Mono>,
}

/// Ticks arrive every 10 ms; a process without a step for this long was paused.
const MIN_PAUSE: Span = Span::ms(250);
/// Older heartbeats are neither acknowledged nor register their origins.
const MAX_HEARTBEAT_AGE: Span = Span::secs(1);
/// Messages that waited during a pause are received within this time after it.
const BACKLOG_WINDOW: Span = Span::ms(500);

impl PauseDetector {
    pub(crate) fn new(now: Mono) -> PauseDetector {
        PauseDetector { last_step: now, pause: (Mono(0), Mono(0)), clocks: BTreeMap::new() }
    }
    /// Records a step; a long gap since the previous one is a pause.
    pub(crate) fn step(&mut self, now: Mono) {
        if now - self.last_step > MIN_PAUSE {
            self.pause = (self.last_step, now);
        }
        self.last_step = now;
    }
    /// The earliest time at which a message arriving now may have been sent.
    fn earliest_send_time(&self, now: Mono) -> Mono {
        let (from, to) = self.pause;
        if to != Mono(0) && now - to < BACKLOG_WINDOW {
            from
        } else {
            now
        }
    }
}

impl Controller {
    /// Handles an `OriginHeartbeat` received directly from its origin. It is dated at the earliest time at
    /// which it may have been sent, so time spent waiting counts towards its age. A leaving origin
    /// is answered only once its drain is in force: from then on no edge sends it requests.
    pub(crate) fn on_direct_heartbeat(
        &mut self,
        now: Mono,
        token: Token,
        origin_heartbeat: OriginHeartbeat,
        mark: Option<Mono>,
        out: &mut Vec<Out>,
    ) {
        let read_at = mark.filter(|m| *m <= now).unwrap_or(now);
        let earliest = self.pause_detector.earliest_send_time(now);
        let sent = read_at.min(earliest);
        self.record_heartbeat(now, origin_heartbeat.clone(), sent);
        if self.consensus.is_none() || now - earliest > MAX_HEARTBEAT_AGE {
            return out.push(Out::Tell(token, NodeReply::Unavailable("the beat waited too long")));
        }
        match origin_heartbeat.mood {
            Mood::Leaving => self.drain_origin(now, token, origin_heartbeat, out),
            Mood::Gone => self.submit_unless_pending(
                now,
                token,
                Op::SignOff(origin_heartbeat.addr, origin_heartbeat.birth),
                out,
            ),
            Mood::Warming | Mood::Serving => {
                if now - sent <= MAX_HEARTBEAT_AGE {
                    self.register(now, origin_heartbeat, out);
                }
                out.push(Out::Tell(token, NodeReply::Acknowledged));
            }
        }
    }

    /// Registers an origin that is not known yet.
    fn register(&mut self, now: Mono, origin_heartbeat: OriginHeartbeat, out: &mut Vec<Out>) {
        let known =
            self.state.origin(&origin_heartbeat.addr).is_some_and(|o| o.birth == origin_heartbeat.birth);
        if !known && self.is_latest_incarnation(origin_heartbeat.addr, origin_heartbeat.birth) {
            self.derive(now, Op::Register(origin_heartbeat.addr, Origin::of(origin_heartbeat)), out);
        }
    }

    /// Whether this incarnation is the one last heard at the address.
    pub(crate) fn is_latest_incarnation(&self, addr: Addr, birth: Birth) -> bool {
        self.beats.get(&addr).is_some_and(|h| h.beat().birth == birth)
    }

    /// Handles heartbeats relayed by another controller. Their ages are counted from `echo`, this
    /// controller's own clock as last seen by the sender.
    pub(crate) fn on_relayed_heartbeats(
        &mut self,
        now: Mono,
        from: Addr,
        heartbeats: Vec<(OriginHeartbeat, Span)>,
        at: Mono,
        echo: Option<Mono>,
    ) {
        self.pause_detector.clocks.insert(from, at);
        if let Some(echoed) = echo.filter(|e| *e <= now) {
            self.contact.note(now, from, echoed);
            heartbeats.into_iter().for_each(|(origin_heartbeat, age)| {
                self.record_heartbeat(now, origin_heartbeat, echoed - age)
            });
        }
    }

    /// Keeps an `OriginHeartbeat` if it replaces the one known of this address.
    fn record_heartbeat(&mut self, now: Mono, origin_heartbeat: OriginHeartbeat, sent: Mono) {
        let known = self.beats.get(&origin_heartbeat.addr);
        if origin_heartbeat.replaces(sent, known.map(|h| &h.last)) {
            // A copy received by another path need not be relayed again.
            let repeated = known.filter(|h| origin_heartbeat.seq > 0 && *h.beat() == origin_heartbeat);
            let received = repeated.map_or(now, |h| h.received);
            self.beats.insert(
                origin_heartbeat.addr,
                ReceivedHeartbeat { last: (origin_heartbeat, sent), received },
            );
        }
    }

    /// All heartbeats that are not outdated, with their ages.
    pub(crate) fn current_heartbeats(&self, now: Mono) -> Vec<(OriginHeartbeat, Span)> {
        self.heartbeats_since(now, Mono(0)).collect()
    }

    /// Heartbeats received at or after `since`, with their ages.
    pub(crate) fn heartbeats_since(
        &self,
        now: Mono,
        since: Mono,
    ) -> impl Iterator<Item = (OriginHeartbeat, Span)> + '_ {
        let recent =
            self.beats.values().filter(move |h| now - h.sent() < HEARTBEAT_RETENTION && h.received >= since);
        recent.map(move |h| (h.beat().clone(), now - h.sent()))
    }

    /// Discards outdated heartbeats and sends the other members those received since the last
    /// relay.
    pub(crate) fn relay_heartbeats(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.beats.retain(|_, h| now - h.sent() < HEARTBEAT_RETENTION);
        let heartbeats: Vec<(OriginHeartbeat, Span)> = self.heartbeats_since(now, self.last_relay).collect();
        self.last_relay = now;
        if self.consensus.is_some() {
            let own_addr = self.env.addr;
            let others = self.base.members.iter().map(|m| m.addr).filter(|a| *a != own_addr);
            let echo = |a: &Addr| self.pause_detector.clocks.get(a).copied();
            out.extend(others.map(|a| Out::SendNow(a, Msg::Heartbeats(heartbeats.clone(), now, echo(&a)))));
        }
    }

    /// Proposes to remove origins that have been silent for too long; the leader's duty.
    pub(crate) fn remove_silent_origins(&mut self, now: Mono, out: &mut Vec<Out>) {
        let silent = |addr: &Addr, origin: &Origin| {
            let last_sent =
                self.beats.get(addr).filter(|h| h.beat().birth == origin.birth).map(ReceivedHeartbeat::sent);
            last_sent.is_none_or(|sent| now - sent >= self.env.vanish)
        };
        let removals: Vec<Op> = self
            .state
            .items
            .iter()
            .filter_map(|(key, item)| match (key, &item.body) {
                (Key::Origin(addr), Some(Body::Origin(origin))) if silent(addr, origin) => {
                    Some(Op::Remove(*addr, origin.birth))
                }
                _ => None,
            })
            .collect();
        removals.into_iter().for_each(|op| self.derive(now, op, out));
    }
}
