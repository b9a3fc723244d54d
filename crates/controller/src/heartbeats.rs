//! Origins' beats: soft, passed around; only register, drain and removal are
//! commands.
use crate::controller::Controller;
use control_state::*;
use primitives::{Addr, Birth, Mono, Span, Token};
use std::collections::BTreeMap;

/// Beats older than this are forgotten.
const OLD: Span = Span::secs(10);

/// What an origin last said of itself.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedHeartbeat {
    /// With when it was said, at the earliest.
    pub last: (OriginHeartbeat, Mono),
    /// When it was taken in here.
    pub taken: Mono,
}

impl ReceivedHeartbeat {
    pub(crate) fn beat(&self) -> &OriginHeartbeat {
        &self.last.0
    }
    pub(crate) fn said(&self) -> Mono {
        self.last.1
    }
}

/// What this controller knows of pauses, its own and the links'.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last: Mono,
    /// The last long pause: from when to when.
    pause: (Mono, Mono),
    /// The clocks of other controllers, as last heard.
    clocks: BTreeMap<Addr, Mono>,
}

/// Ticks come every hundredth of a second; without a step for so long it was frozen.
const PAUSE: Span = Span::ms(250);
/// A beat that waited for longer is answered no more, nor enters its origin.
const STALE: Span = Span::secs(1);
/// What waited out a pause is taken in within this after it.
const BACKLOG: Span = Span::ms(500);

impl PauseDetector {
    pub(crate) fn new(now: Mono) -> PauseDetector {
        PauseDetector { last: now, pause: (Mono(0), Mono(0)), clocks: BTreeMap::new() }
    }
    pub(crate) fn step(&mut self, now: Mono) {
        if now - self.last > PAUSE {
            self.pause = (self.last, now);
        }
        self.last = now;
    }
    /// When what arrives now may have been said, at the earliest.
    fn since(&self, now: Mono) -> Mono {
        let (from, to) = self.pause;
        if to != Mono(0) && now - to < BACKLOG {
            from
        } else {
            now
        }
    }
}

impl Controller {
    /// A beat from its origin. It counts from the moment before which it cannot have
    /// been said: one that waited is as old as its wait.
    /// A word of leaving is answered once it is in force: then no edge asks it any more.
    pub(crate) fn on_direct_heartbeat(
        &mut self,
        now: Mono,
        t: Token,
        b: OriginHeartbeat,
        mark: Option<Mono>,
        out: &mut Vec<Out>,
    ) {
        let known = mark.filter(|m| *m <= now).unwrap_or(now);
        let since = self.pause_detector.since(now);
        let said = known.min(since);
        self.hear(now, b.clone(), said);
        if self.consensus.is_none() || now - since > STALE {
            return out.push(Out::Tell(t, NodeReply::Unavailable("the beat waited too long")));
        }
        match b.mood {
            Mood::Leaving => self.drain_origin(now, t, b, out),
            Mood::Gone => self.submit_unless_pending(now, t, Op::SignOff(b.addr, b.birth), out),
            Mood::Warming | Mood::Serving => {
                if now - said <= STALE {
                    self.register(now, b, out);
                }
                out.push(Out::Tell(t, NodeReply::Acknowledged));
            }
        }
    }

    /// Enters an origin that is not known yet.
    fn register(&mut self, now: Mono, b: OriginHeartbeat, out: &mut Vec<Out>) {
        let known = self.state.origin(&b.addr).is_some_and(|o| o.birth == b.birth);
        if !known && self.is_latest_incarnation(b.addr, b.birth) {
            self.derive(now, Op::Register(b.addr, Origin::of(b)), out);
        }
    }

    /// Of two lives at an address the later heard is the one there now.
    pub(crate) fn is_latest_incarnation(&self, addr: Addr, birth: Birth) -> bool {
        self.beats.get(&addr).is_some_and(|h| h.beat().birth == birth)
    }

    /// Beats passed on by another controller, no older than `echo`, this one's own clock.
    pub(crate) fn on_relayed_heartbeats(
        &mut self,
        now: Mono,
        from: Addr,
        bs: Vec<(OriginHeartbeat, Span)>,
        at: Mono,
        echo: Option<Mono>,
    ) {
        self.pause_detector.clocks.insert(from, at);
        if let Some(then) = echo.filter(|e| *e <= now) {
            self.contact.note(now, from, then);
            bs.into_iter().for_each(|(b, age)| self.hear(now, b, then - age));
        }
    }

    fn hear(&mut self, now: Mono, beat: OriginHeartbeat, said: Mono) {
        let was = self.beats.get(&beat.addr);
        if beat.replaces(said, was.map(|h| &h.last)) {
            // The same one by another way is no news to those who were told it.
            let same = was.filter(|h| beat.seq > 0 && *h.beat() == beat);
            let taken = same.map_or(now, |h| h.taken);
            self.beats.insert(beat.addr, ReceivedHeartbeat { last: (beat, said), taken });
        }
    }

    pub(crate) fn current_heartbeats(&self, now: Mono) -> Vec<(OriginHeartbeat, Span)> {
        self.heartbeats_since(now, Mono(0)).collect()
    }

    /// Those taken in from some moment on, and their ages.
    pub(crate) fn heartbeats_since(
        &self,
        now: Mono,
        then: Mono,
    ) -> impl Iterator<Item = (OriginHeartbeat, Span)> + '_ {
        let fresh = self.beats.values().filter(move |h| now - h.said() < OLD && h.taken >= then);
        fresh.map(move |h| (h.beat().clone(), now - h.said()))
    }

    pub(crate) fn relay_heartbeats(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.beats.retain(|_, h| now - h.said() < OLD);
        let bs: Vec<(OriginHeartbeat, Span)> = self.heartbeats_since(now, self.last_relay).collect();
        self.last_relay = now;
        if self.consensus.is_some() {
            let me = self.env.addr;
            let others = self.base.members.iter().map(|m| m.addr).filter(|a| *a != me);
            let echo = |a: &Addr| self.pause_detector.clocks.get(a).copied();
            out.extend(others.map(|a| Out::SendNow(a, Msg::Heartbeats(bs.clone(), now, echo(&a)))));
        }
    }

    /// Origins that have been silent too long are removed; the leader's work.
    pub(crate) fn remove_silent_origins(&mut self, now: Mono, out: &mut Vec<Out>) {
        let silent = |k: &Addr, o: &Origin| {
            let t = self.beats.get(k).filter(|h| h.beat().birth == o.birth).map(ReceivedHeartbeat::said);
            t.is_none_or(|t| now - t >= self.env.vanish)
        };
        let gone: Vec<Op> = self
            .state
            .items
            .iter()
            .filter_map(|(k, it)| match (k, &it.body) {
                (Key::Origin(a), Some(Body::Origin(o))) if silent(a, o) => Some(Op::Remove(*a, o.birth)),
                _ => None,
            })
            .collect();
        gone.into_iter().for_each(|op| self.derive(now, op, out));
    }
}
