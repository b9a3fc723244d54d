//! Where the copy of an object comes from: one of the object's homes, a ledger, or an origin.
//!
//! An edge asks the home of its zone, which asks the home of its region, which asks the home of the
//! deployment, and only that one asks the origin, so that an origin is asked once for all. A home
//! that does not answer is skipped: its requester turns to the next source, not to the origin.
//!
//! Invariant: an edge acting for a reach waits only for one acting for a wider reach, so edges that
//! see different homes never wait for one another in a circle.
use crate::edge::Edge;
use crate::jobs::*;
use crate::shared_fetch::SharedFetchId;
use control_state::*;
use primitives::{Addr, Mono, Span};

/// Copies with a shorter time-to-live are not worth a ledger's disk.
pub(crate) const MIN_DISK_CACHE_TTL: Span = Span::secs(1);
/// How long a home that did not answer is skipped.
const UNRESPONSIVE_COOLDOWN: Span = Span::secs(2);
/// Longest time to wait for a home.
const MAX_HOME_TIMEOUT: Span = Span::secs(1);
/// A home that is working on a request reports so repeatedly; after this time without a report it
/// counts as lost.
const PROGRESS_TIMEOUT: Span = Span::ms(1500);
/// How long a home is skipped that reported to be out of touch.
const NO_QUORUM_COOLDOWN: Span = Span::ms(300);
/// Number of homes of the widest reach that are asked before the origin.
const MAX_WIDEST_HOMES: u8 = 2;

/// The sources of an object, in the order in which a job asks them.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Source {
    Home(Reach),
    Ledger,
    Origin,
}

/// A copy request in progress.
#[derive(Copy, Clone, Debug)]
pub(crate) struct CopyRequest {
    pub to: Addr,
    /// The time-to-live of the answer counts from here.
    pub asked: Mono,
    pub source: Source,
    /// Hash of the `ETag` of the copy that the other process is asked about, if any.
    pub held: Option<u64>,
    /// When the other process last reported progress.
    pub last_progress_at: Option<Mono>,
}

impl Edge {
    /// The reaches that have homes in this deployment, nearest first.
    fn reaches(&self) -> &'static [Reach] {
        if self.env.policy.near {
            self.table.tiers()
        } else {
            &[Reach::Deployment]
        }
    }

    /// The first home by rendezvous hashing that has not recently failed to answer.
    pub(crate) fn home(&self, now: Mono, object: &Object, reach: Reach) -> Option<Addr> {
        let homes = self.table.homes(reach, &self.follow.env.zone).iter();
        let is_responsive = |e: &&EdgeNode| self.unresponsive.get(&e.addr).is_none_or(|t| *t <= now);
        primitives::first(object, homes.filter(is_responsive), |e| e.id.0, |e| e.capacity).map(|e| e.addr)
    }

    /// The ledger of this edge's region whose disk cache may hold the object, if ledgers have disk
    /// caches.
    pub(crate) fn disk_cache_ledger(&self, now: Mono, object: &Object) -> Option<Addr> {
        if !self.env.disk_cache {
            return None;
        }
        let region = self.follow.env.zone.region();
        let candidates: Vec<_> =
            self.table.ledgers.iter().filter(|l| l.zone.region() == region).cloned().collect();
        let ranked = primitives::rank(object, &candidates, |l| l.id.0);
        let is_responsive = |a: &Addr| self.unresponsive.get(a).is_none_or(|t| *t <= now);
        ranked.into_iter().map(|l| l.addr).next().filter(is_responsive)
    }

    /// The first source to ask for a home of that reach, or for this edge's own callers.
    pub(crate) fn first_source(&self, now: Mono, object: &Object, home_reach: Option<Reach>) -> Source {
        let own_addr = self.follow.env.addr;
        let wider = self.reaches().iter().filter(|r| home_reach.is_none_or(|acting| **r > acting));
        // The home of a reach does not ask homes of nearer reaches.
        let own_reach = self.reaches().iter().rev().find(|r| self.home(now, object, **r) == Some(own_addr));
        let mut to_ask = wider.filter(|r| own_reach.is_none_or(|own| *r > own));
        to_ask.next().map_or(Source::Ledger, |r| Source::Home(*r))
    }

    /// The asked home is out of touch: asks another home of the same reach, or the next source.
    pub(crate) fn ask_other_home(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        copy_request: CopyRequest,
        out: &mut Vec<Out>,
    ) {
        self.unresponsive.insert(copy_request.to, now + NO_QUORUM_COOLDOWN);
        self.ask_source(now, id, copy_request.source, out);
    }

    /// Queued fetches that are here because no home was available move to a home once one answers.
    pub(crate) fn move_queued_fills_to_homes(&mut self, now: Mono, out: &mut Vec<Out>) {
        let queued = self.jobs.iter().filter(|(_, job)| job.is_queued());
        let fetches: Vec<SharedFetchId> = queued.filter_map(|(id, _)| self.shared_fetch(*id)).collect();
        fetches.into_iter().for_each(|id| self.move_queued_fetch_to_home(now, id, out));
    }

    fn move_queued_fetch_to_home(&mut self, now: Mono, id: SharedFetchId, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get(&id.job()) else { return };
        let (object, home_reach) = (job.object(), job.shared.as_ref().and_then(|fetch| fetch.home_reach));
        let mut source = self.first_source(now, &object, home_reach);
        while let Source::Home(reach) = source {
            if self.home_to_ask(now, &object, reach).is_some() {
                self.count("left a line for a home");
                return self.ask_source(now, id, source, out);
            }
            source = self.next_source(source);
        }
    }

    /// Asks the source, or the next one that exists.
    pub(crate) fn ask_source(&mut self, now: Mono, id: SharedFetchId, source: Source, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id.job()) else { return };
        job.invalidated = false;
        let (object, disk_cacheable) = (job.object(), job.row.ttl >= MIN_DISK_CACHE_TTL);
        self.shared_fetches.insert(object.clone(), id);
        let to = match source {
            Source::Home(reach) => self.home_to_ask(now, &object, reach),
            Source::Ledger => self.disk_cache_ledger(now, &object).filter(|_| disk_cacheable),
            Source::Origin => return self.enqueue_job(now, id.job(), out),
        };
        match to {
            Some(to) => self.send_copy_request(
                now,
                id,
                CopyRequest { to, asked: now, source, held: None, last_progress_at: None },
                out,
            ),
            None => self.ask_source(now, id, self.next_source(source), out),
        }
    }

    /// The home of that reach, if it is another edge and not bypassed.
    fn home_to_ask(&self, now: Mono, object: &Object, reach: Reach) -> Option<Addr> {
        if self.prefers_nearby_origin(now, object, reach) {
            return None;
        }
        self.home(now, object, reach).filter(|home| *home != self.follow.env.addr)
    }

    fn next_source(&self, source: Source) -> Source {
        let Source::Home(reach) = source else { return Source::Origin };
        let wider = self.reaches().iter().find(|r| **r > reach);
        wider.map_or(Source::Ledger, |r| Source::Home(*r))
    }

    fn send_copy_request(
        &mut self,
        now: Mono,
        id: SharedFetchId,
        copy_request: CopyRequest,
        out: &mut Vec<Out>,
    ) {
        let ask = self.request_id(id.job());
        let Some(job) = self.jobs.get(&id.job()) else { return };
        let (object, heads, patience) = (job.object(), job.req.heads.clone(), job.remaining_patience(now));
        let reach = match copy_request.source {
            Source::Home(reach) => reach,
            _ => Reach::Deployment,
        };
        // Only a copy that is kept here can be revalidated.
        let cached = self.copies.peek(&object);
        let held = cached.and_then(|c| c.whole.heads.get("etag")).map(str::to_string);
        let held = held.filter(|_| copy_request.source != Source::Ledger);
        let copy_request = CopyRequest { held: held.as_ref().map(primitives::hash), ..copy_request };
        self.count(match copy_request.source {
            Source::Home(Reach::Zone) => "asked of zone homes",
            Source::Home(Reach::Region) => "asked of region homes",
            Source::Home(Reach::Deployment) => "asked of deployment homes",
            _ => "asked of ledgers",
        });
        out.push(Out::Send(copy_request.to, Msg::CopyQuery { ask, object, heads, reach, held, patience }));
        self.set_stage(now, id.job(), Stage::Home(copy_request));
    }

    /// How long the asked process may take.
    pub(crate) fn copy_request_timeout(&self, copy_request: &CopyRequest) -> Span {
        let policy = &self.env.policy;
        match (copy_request.source, copy_request.last_progress_at) {
            (_, Some(last_progress)) => last_progress - copy_request.asked + PROGRESS_TIMEOUT,
            (Source::Home(reach), None) => {
                let min_timeout = if reach == Reach::Zone { policy.home } else { policy.wide_home_timeout };
                self.answer_times
                    .get(&reach)
                    .copied()
                    .unwrap_or_default()
                    .limit(min_timeout, MAX_HOME_TIMEOUT)
            }
            _ => policy.home,
        }
    }

    /// Records the time to the first answer.
    pub(crate) fn note_answer_time(&mut self, now: Mono, copy_request: &CopyRequest) {
        if let (Source::Home(reach), None) = (copy_request.source, copy_request.last_progress_at) {
            self.answer_times.entry(reach).or_default().note(now - copy_request.asked);
        }
    }

    /// The asked process has no copy, or can no longer be asked: turns to the next source.
    pub(crate) fn ask_next(&mut self, now: Mono, id: SharedFetchId, out: &mut Vec<Out>) {
        let source = match self.jobs.get(&id.job()).map(|job| &job.stage) {
            Some(Stage::Home(copy_request)) => self.next_source(copy_request.source),
            _ => Source::Origin,
        };
        self.ask_source(now, id, source, out);
    }

    /// The asked process did not answer in time: its answer is still accepted, and another source
    /// is asked.
    pub(crate) fn skip_unresponsive_home(&mut self, now: Mono, id: SharedFetchId, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id.job()) else { return };
        let Stage::Home(copy_request) = job.stage else { return };
        job.shared.iter_mut().for_each(|fetch| fetch.overdue.push(copy_request));
        let homes_asked =
            job.overdue().iter().filter(|request| request.source == copy_request.source).count() as u8;
        let widest = self.reaches().last().map(|r| Source::Home(*r));
        let ask_another_home = widest == Some(copy_request.source) && homes_asked < MAX_WIDEST_HOMES;
        self.unresponsive.insert(copy_request.to, now + UNRESPONSIVE_COOLDOWN);
        self.count(if ask_another_home { "silent region homes" } else { "mute homes" });
        if ask_another_home {
            self.ask_source(now, id, copy_request.source, out);
        } else {
            self.ask_next(now, id, out);
        }
    }

    /// After a purge: earlier answers are not used, and the same source is asked again.
    pub(crate) fn restart_copy_request(&mut self, now: Mono, id: SharedFetchId, out: &mut Vec<Out>) {
        let Some(job) = self.jobs.get_mut(&id.job()) else { return };
        job.shared.iter_mut().for_each(|fetch| fetch.overdue.clear());
        let Stage::Home(copy_request) = job.stage else { return };
        self.ask_source(now, id, copy_request.source, out);
    }
}
