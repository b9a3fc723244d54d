//! The single duty: the first live controller in the agreed order lends slices of
//! the ceilings, removes vanished origins and cuts eras.
use crate::controller::Controller;
use caesar::{classic, Kid};
use control_state::*;
use primitives::{Addr, Epoch, Mono, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How long a controller's word for a holder stands.
pub(crate) const TERM: Span = Span::ms(1500);
/// An epoch that finds no quorum is given up after so long. Invariant: longer than any
/// word stands, or of a vote once split each half's words would end as the next epoch is
/// already refused by the other half, for ever.
const RAISE: Span = Span::ms(3500);
/// A member within reach that does not ask for the leadership for so long cannot hold it:
/// it is out of contact with a majority.
const STEP_IN: Span = Span::secs(3);

pub(crate) struct Duty {
    /// Invariant: never goes down; nobody below it is served.
    seen: Epoch,
    /// Whom this controller gave its word, until when.
    word: Option<(Kid, Epoch)>,
    until: Mono,
    /// As holder: since when, and until when each controller's word carries it.
    mine: Option<Epoch>,
    since: Mono,
    words: BTreeMap<Kid, Mono>,
    /// When each member last asked for the leadership, and when this process began.
    asks: BTreeMap<Kid, Mono>,
    began: Mono,
    need: usize,
    purses: BTreeMap<Svc, Purse>,
}

/// What may still be lent of one service's ceiling.
#[derive(Clone, Debug)]
struct Purse {
    tokens: f64,
    at: Mono,
}

impl Duty {
    /// Words given before a restart may still stand: none is given for a term.
    pub(crate) fn new(now: Mono) -> Duty {
        Duty {
            seen: Epoch(0),
            word: None,
            until: now + TERM.padded(),
            mine: None,
            since: now,
            words: BTreeMap::new(),
            asks: BTreeMap::new(),
            began: now,
            need: usize::MAX,
            purses: BTreeMap::new(),
        }
    }

    /// Until when a classic quorum's words carry this holder.
    fn carried(&self) -> Mono {
        let mut v: Vec<Mono> = self.words.values().copied().collect();
        v.sort_by(|a, b| b.cmp(a));
        v.get(self.need.saturating_sub(1)).copied().unwrap_or_default()
    }

    pub(crate) fn held(&self, now: Mono) -> bool {
        self.mine.is_some() && self.carried() > now
    }

    fn last_ask(&self, kid: Kid) -> Mono {
        self.asks.get(&kid).copied().unwrap_or(self.began)
    }

    fn epoch(&self) -> Epoch {
        self.mine.unwrap_or(Epoch(0))
    }

    /// What edges are told: they pass it on, so that an epoch nobody carries would end
    /// one that a quorum does.
    pub(crate) fn held_epoch(&self, now: Mono) -> Epoch {
        if self.held(now) {
            self.epoch()
        } else {
            Epoch(0)
        }
    }
}

impl Controller {
    /// Every member before this one in the order leaves, is out of reach, has a disk that
    /// does not keep up, or has not asked for the leadership for so long that it must be
    /// unable to. Where no disk keeps up, disks do not count.
    pub(crate) fn first_live(&self, now: Mono) -> bool {
        // Who has just got its seat cannot have reached anybody yet.
        let settled = now - self.seated > self.env.pace.suspect;
        let idle = |k: &Kid| now - self.duty.last_ask(*k) > STEP_IN;
        let absent = |k: &Kid| *k != self.kid && settled && (!self.reaches(now, *k) || idle(k));
        let available = |k: &Kid| !self.watch.leaves(*k) && !absent(k);
        let members: Vec<Kid> = order(&self.pic).into_iter().filter(available).collect();
        let keeps_up = members.iter().find(|k| self.disk.keeps_up(now, **k));
        keeps_up.or(members.first()) == Some(&self.kid)
    }

    pub(crate) fn do_duty(&mut self, now: Mono, out: &mut Vec<Out>) {
        let fit = self.caught_up() && self.connected(now) && self.first_live(now);
        if !fit {
            self.duty.mine = None;
            return;
        }
        if self.due("duty", Span::ms(300), now) {
            let d = &mut self.duty;
            d.need = classic(self.base.members.len());
            if d.mine.is_none_or(|e| e < d.seen) || (d.carried() <= now && d.since + RAISE < now) {
                d.mine = Some(Epoch(d.seen.0 + 1));
                d.seen = Epoch(d.seen.0 + 1);
                d.since = now;
                d.words.clear();
                d.purses.clear();
                out.push(Out::Note("taking the duty under a new epoch"));
            }
            let e = d.epoch();
            let ask = |m: &Member| Out::SendNow(m.addr, Msg::DutyAsk(self.kid, e, now));
            out.extend(self.base.members.iter().map(ask));
        }
        if self.duty.held(now)
            && now - self.duty.since > self.env.vanish
            && self.due("sweep", Span::ms(500), now)
        {
            self.sweep(now, out);
        }
        if self.duty.held(now) && self.due("roll", Span::ms(300), now) {
            self.mind_roll(now, out);
        }
    }

    pub(crate) fn on_duty_ask(
        &mut self,
        now: Mono,
        from: Addr,
        kid: Kid,
        e: Epoch,
        ask: Mono,
        out: &mut Vec<Out>,
    ) {
        let d = &mut self.duty;
        d.asks.insert(kid, now);
        // Two that do not hear one another would share the words for ever: of those who ask
        // the earlier in the order gets them, and the other raises no epoch here.
        let outranked = d.asks.iter().any(|(k, t)| *k < kid && now - *t < TERM);
        if outranked {
            return out.push(Out::SendNow(from, Msg::DutySaid(self.kid, d.seen, None)));
        }
        let same = d.word == Some((kid, e));
        let free = d.until <= now && e >= d.seen;
        let yes = same || free;
        d.seen = d.seen.max(e);
        if yes {
            d.word = Some((kid, e));
            d.until = now + TERM.padded();
        }
        let said = Msg::DutySaid(self.kid, d.seen, yes.then_some(ask));
        out.push(Out::SendNow(from, said));
    }

    pub(crate) fn on_duty_said(&mut self, _now: Mono, kid: Kid, e: Epoch, ask: Option<Mono>) {
        let d = &mut self.duty;
        d.seen = d.seen.max(e);
        if d.mine == Some(e) {
            ask.map(|t| d.words.insert(kid, t + TERM));
        }
    }

    /// Lends single requests of the ceiling, to be used within a short term.
    pub(crate) fn lend(&mut self, now: Mono, s: &Sub) -> Vec<(Svc, u32)> {
        let d = &mut self.duty;
        if s.epoch > d.seen {
            d.seen = s.epoch;
        }
        // What is lent must be used or void before another holder can lend.
        if d.mine.is_none() || d.carried() < now + LENT || d.mine < Some(s.epoch) {
            return vec![];
        }
        let mut got = vec![];
        for (svc, want) in &s.wants {
            let Some(share) = share(&self.pic.items, svc).filter(|s| !s.free()) else { continue };
            // A new holder starts with nothing: the last one may have lent it all.
            let p = d.purses.entry(svc.clone()).or_insert(Purse { tokens: 0.0, at: now });
            // A quarter second's worth: with what is lent out for `LENT` and the
            // edges' own bursts, five seconds stay within the ceiling's tenth.
            let cap = (share.lent * 0.25).max(1.0);
            p.tokens = (p.tokens + share.lent * (now - p.at).0 as f64 / 1e6).min(cap);
            p.at = now;
            let n = (*want as f64).min(p.tokens.floor());
            p.tokens -= n;
            if n > 0.0 {
                got.push((svc.clone(), n as u32));
            }
        }
        got
    }
}

/// The roster's kids, in the order in which duties fall to them.
fn order(pic: &Picture) -> BTreeSet<Kid> {
    pic.members.iter().map(|m| m.kid).collect()
}
