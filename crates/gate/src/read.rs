//! Readable content: each object has a home gate that fills it once for all.
use crate::copies::Copy;
use crate::gate::Gate;
use crate::jobs::*;
use brood::*;
use std::sync::Arc;
use wax::{Addr, Mono, Span};

/// Copies that live shorter are not worth a comb's disk.
const WORTH: Span = Span::secs(1);

impl Gate {
    pub(crate) fn read(&mut self, now: Mono, j: Job, out: &mut Vec<Out>) {
        let obj = j.object();
        if let Some(c) = self.copies.get(now, &obj).cloned() {
            let until = c.until.min(self.leased_until());
            let s = self.record(&c.whole, Shared::Copy, until);
            return j.callers.iter().for_each(|c| self.tell(now, c, s.clone(), out));
        }
        if self.join_fill(&obj, &j.callers) {
            return;
        }
        let home = self.home(now, &obj);
        let id = self.number();
        self.jobs.insert(id, j);
        match home.filter(|a| *a != self.follow.env.addr) {
            Some(a) => {
                let (svc, lane, path) = obj.clone();
                out.push(Out::Send(a, Msg::CopyAsk { ask: id, svc, lane, path }));
                self.stage(now, id, Stage::Home(a, now, false));
                self.fills.insert(obj, id);
            }
            None => self.fill_here(now, id, out),
        }
    }

    /// Fills are coalesced: later callers wait for the first one's.
    fn join_fill(&mut self, obj: &(Svc, Lane, String), callers: &[Caller]) -> bool {
        let id = self.fills.get(obj).copied();
        let open = id.and_then(|id| self.jobs.get_mut(&id)).filter(|j| !j.spoiled);
        open.map(|j| j.callers.extend(callers.iter().cloned())).is_some()
    }

    /// The first two gates by rendezvous know the object; one that lately kept
    /// silent is passed over.
    fn home(&self, now: Mono, obj: &(Svc, Lane, String)) -> Option<Addr> {
        let ranked = wax::rank(obj, &self.table.gates, |(n, _)| n.0 as u64);
        let speaks = |a: &Addr| self.mute.get(a).is_none_or(|t| *t <= now);
        ranked.into_iter().map(|(_, a)| a).take(2).find(speaks)
    }

    pub(crate) fn fill_here(&mut self, now: Mono, id: u64, out: &mut Vec<Out>) {
        if let Some(j) = self.jobs.get_mut(&id) {
            j.spoiled = false;
            let obj = j.object();
            let first = !std::mem::replace(&mut j.stocked, true) && j.row.ttl >= WORTH;
            self.fills.insert(obj.clone(), id);
            match self.stock_of(now, &obj).filter(|_| first) {
                Some(a) => {
                    let (svc, lane, path) = obj;
                    out.push(Out::Send(a, Msg::CopyAsk { ask: id, svc, lane, path }));
                    self.stage(now, id, Stage::Home(a, now, false));
                }
                None => self.line_up(now, id, out),
            }
        }
    }

    /// The comb that stocks an object, of this gate's region if there is one.
    fn stock_of(&self, now: Mono, obj: &(Svc, Lane, String)) -> Option<Addr> {
        let here = self.follow.env.zone.region();
        let near: Vec<_> = self.table.combs.iter().filter(|c| c.2.region() == here).cloned().collect();
        let ranked = wax::rank(obj, &near, |c| c.0 .0 as u64);
        let speaks = |a: &Addr| self.mute.get(a).is_none_or(|t| *t <= now);
        ranked.into_iter().map(|c| c.1).next().filter(speaks)
    }

    /// A comb takes the copy: with what is left of its life at this moment.
    pub(crate) fn on_stock_want(&mut self, now: Mono, from: Addr, ask: u64, at: Mono, out: &mut Vec<Out>) {
        let Some(object) = self.offers.remove(&ask) else { return };
        let copy = self.copies.get(now, &object).filter(|_| self.leased(now));
        if let Some(c) = copy {
            let mark = mark(&self.follow.items, &object);
            let (whole, left) = ((*c.whole).clone(), c.until - now);
            out.push(Out::Send(from, Msg::StockPut(at, Box::new(StockPut { object, whole, left, mark }))));
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_copy_ask(
        &mut self,
        now: Mono,
        from: Addr,
        ask: u64,
        svc: Svc,
        lane: Lane,
        path: String,
        out: &mut Vec<Out>,
    ) {
        let caller = Caller::Gate(from, ask);
        let obj = (svc.clone(), lane.clone(), path.clone());
        let held = self.copies.get(now, &obj).filter(|_| self.leased(now)).cloned();
        if let Some(c) = held {
            let until = c.until.min(self.leased_until());
            let s = self.record(&c.whole, Shared::Copy, until);
            return self.tell(now, &caller, s, out);
        }
        out.push(Out::Send(from, Msg::CopyWait(ask)));
        if self.leased(now) && self.join_fill(&obj, std::slice::from_ref(&caller)) {
            return;
        }
        let req =
            Req { method: "GET".into(), lane, path, key: None, mime: String::new(), body: Arc::new(vec![]) };
        match self.admit(now, req).ok().filter(|j| j.svc == svc && j.kind == Kind::Read) {
            Some(mut j) => {
                j.callers.push(caller);
                let id = self.number();
                self.jobs.insert(id, j);
                self.fill_here(now, id, out);
            }
            None => self.tell(now, &caller, Step::Deny(Denied::NoOrigin, Span(0)), out),
        }
    }

    pub(crate) fn on_copy_wait(&mut self, ask: u64) {
        if let Some(Stage::Home(_, _, at_it)) = self.jobs.get_mut(&ask).map(|j| &mut j.stage) {
            *at_it = true;
        }
    }

    pub(crate) fn on_copy_got(
        &mut self,
        now: Mono,
        from: Addr,
        ask: u64,
        copy: Option<(Whole, Span)>,
        out: &mut Vec<Out>,
    ) {
        let Some(j) = self.jobs.get(&ask) else { return };
        let Stage::Home(whom, asked, _) = j.stage else { return };
        // A job may have asked two, one after the other; only the last one's word
        // is younger than the asking its life is counted from.
        if whom != from {
            return;
        }
        let good = !j.spoiled && self.leased(now);
        // The copy's rest of life counts from when it was asked for.
        let life = copy.filter(|_| good).map(|(w, left)| (w, (asked + left).min(self.leased_until())));
        match life.filter(|(_, until)| *until > now) {
            Some((w, until)) => {
                let (obj, whole, stocked) = (j.object(), Arc::new(w), j.stocked);
                self.count(if stocked { "filled from combs" } else { "filled from homes" });
                self.keep(now, obj, Copy { whole: whole.clone(), until });
                let s = self.record(&whole, Shared::Copy, until);
                self.finish(now, ask, s, out);
            }
            None => self.fill_here(now, ask, out),
        }
    }

    fn keep(&mut self, now: Mono, obj: (Svc, Lane, String), c: Copy) {
        if c.until > now && c.whole.body.len() <= self.env.copies {
            self.copies.put(obj, c);
        }
    }

    /// A whole answer for a fill: kept if it may be, then served.
    pub(crate) fn filled(&mut self, now: Mono, id: u64, sent: Mono, w: Whole, out: &mut Vec<Out>) {
        let Some(j) = self.jobs.get(&id) else { return };
        let (obj, until) = (j.object(), sent + j.row.ttl);
        let whole = Arc::new(w);
        let fine = whole.status == 200 && self.leased(now);
        if fine {
            self.keep(now, obj.clone(), Copy { whole: whole.clone(), until });
            if until - now >= WORTH {
                let to = self.stock_of(now, &obj);
                out.extend(to.map(|a| Out::Send(a, Msg::StockOffer(id))));
                self.offers.insert(id, obj);
            }
        }
        // An answer just fetched may be served even if it may not be kept.
        let until = until.max(now + Span::ms(1500)).min(self.leased_until());
        let s = self.record(&whole, Shared::Origin, until);
        self.finish(now, id, s, out);
    }

    /// A purge takes the copies, and spoils what is being fetched.
    pub(crate) fn purge(&mut self, now: Mono, svc: &Svc, prefix: &str, out: &mut Vec<Out>) {
        self.copies.drop_where(|k, _| k.0 == *svc && k.2.starts_with(prefix));
        self.count("purges");
        let hit = |o: &(Svc, Lane, String)| o.0 == *svc && o.2.starts_with(prefix);
        self.fills.retain(|o, _| !hit(o));
        let ids: Vec<u64> = self.jobs.iter().filter(|(_, j)| hit(&j.object())).map(|(i, _)| *i).collect();
        for id in ids {
            let j = self.jobs.get_mut(&id).expect("listed above");
            j.spoiled = j.kind == Kind::Read;
            if j.spoiled && matches!(j.stage, Stage::Home(..)) {
                self.fill_here(now, id, out);
            }
        }
    }
}
