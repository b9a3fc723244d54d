use crate::admission::Admission;
use crate::body_size::BodySizes;
use crate::copies::Copies;
use crate::forwarded_calls::ForwardedCalls;
use crate::jobs::Job;
use crate::local_controller::LocalControllerState;
use crate::metrics::EdgeMetrics;
use crate::origins::OriginHealth;
use crate::outcome_deliveries::OutcomeDelivery;
pub use crate::policy::EdgePolicy;
use crate::purged_tags::PurgedTags;
use crate::read::CopyRequestOptions;
use crate::table::Table;
use control_state::*;
use primitives::{Addr, Mono, ResponseTimeEstimator, Span};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What an edge is told about itself.
#[derive(Clone, Debug)]
pub struct EdgeEnv {
    pub follow: FollowerEnv,
    /// An origin unheard for this long is not used.
    pub fresh: Span,
    /// How long an origin may take over an answer.
    pub patience: Span,
    /// Bytes of copies kept.
    pub copies: usize,
    /// Requests held at a time, of one service and in all.
    pub hands: (usize, usize),
    /// How long requests are still taken once it leaves, for callers to notice.
    pub grace: Span,
    /// Lost disks of ledgers borne at once; the same at every edge and ledger.
    pub losses: usize,
    /// Copies are offered to ledgers and asked of them.
    pub disk_cache: bool,
    /// A granted round must leave within this; the same at every edge and ledger.
    pub leave: Span,
    /// The controller in the same process, if there is one: it is told who the members are.
    pub controller: Option<Addr>,
    pub policy: EdgePolicy,
}

pub struct Edge {
    pub(crate) env: EdgeEnv,
    pub(crate) follow: Follower,
    /// Built from what `follow` holds whenever that changes.
    pub(crate) table: Arc<Table>,
    /// The lease ran out at some time since the copies were last dropped.
    pub(crate) lapsed: bool,
    pub(crate) had_lease_quorum: bool,
    pub(crate) origin_health: OriginHealth,
    pub(crate) admission: Admission,
    pub(crate) copies: Copies,
    pub(crate) jobs: BTreeMap<u64, Job>,
    /// The job that fills each object now.
    pub(crate) fills: BTreeMap<Object, u64>,
    pub(crate) rounds: BTreeMap<u64, u64>,
    /// Of all purges known, unless one came since it was last asked for.
    pub(crate) purge_digest: Option<u64>,
    /// Copies offered to ledgers, by the job that filled them.
    pub(crate) disk_cache_offers: BTreeMap<u64, Object>,
    pub(crate) outcome_deliveries: Vec<OutcomeDelivery>,
    /// Objects whose answers lately were not to be shared, and until when each
    /// caller is answered by the origin.
    pub(crate) unshared: BTreeMap<Object, Mono>,
    pub(crate) body_sizes: BodySizes,
    pub(crate) purged_tags: PurgedTags,
    /// How long homes take to answer, by their reach.
    pub(crate) answer_times: BTreeMap<Reach, ResponseTimeEstimator>,
    /// Edges that lately did not answer.
    pub(crate) unresponsive: BTreeMap<Addr, Mono>,
    pub(crate) forwarded_calls: ForwardedCalls,
    pub(crate) local_controller: LocalControllerState,
    /// When the copies were last looked through.
    last_sweep: Mono,
    pub(crate) last_number: u64,
    /// Since when it leaves: not ready at once, but taking requests for the grace.
    pub(crate) leaving_since: Option<Mono>,
    pub(crate) counters: BTreeMap<&'static str, u64>,
    pub(crate) metrics: EdgeMetrics,
}

impl Edge {
    pub fn new(env: EdgeEnv) -> Edge {
        Edge {
            table: Arc::new(Table::default()),
            follow: Follower::new(env.follow.clone()),
            lapsed: true,
            had_lease_quorum: false,
            origin_health: OriginHealth::default(),
            admission: Admission::default(),
            copies: Copies::new(env.copies),
            jobs: BTreeMap::new(),
            fills: BTreeMap::new(),
            rounds: BTreeMap::new(),
            purge_digest: None,
            disk_cache_offers: BTreeMap::new(),
            outcome_deliveries: vec![],
            unshared: BTreeMap::new(),
            body_sizes: BodySizes::default(),
            purged_tags: PurgedTags::default(),
            answer_times: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            forwarded_calls: ForwardedCalls::default(),
            local_controller: LocalControllerState::default(),
            last_sweep: Mono(0),
            // Lives begin at different numbers, for some choices are spread by them.
            // Answers find their questions by the life as well, see `answers`.
            last_number: env.follow.birth.0 << 20,
            leaving_since: None,
            counters: BTreeMap::new(),
            metrics: EdgeMetrics::default(),
            env,
        }
    }

    pub fn items(&self) -> &BTreeMap<Key, Item> {
        &self.follow.items
    }

    /// Its figures, to be entered into a registry.
    pub fn metrics(&self) -> EdgeMetrics {
        self.metrics.clone()
    }

    pub(crate) fn count(&mut self, name: &'static str) {
        *self.counters.entry(name).or_default() += 1;
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Until when the setup lease holds: a classic quorum of controllers carries it.
    pub fn leased_until(&self) -> Mono {
        self.follow.leased_until()
    }

    pub fn leased(&self, now: Mono) -> bool {
        self.follow.leased(now)
    }

    /// Holds all that is in force, serving on or not.
    pub fn in_touch(&self, now: Mono) -> bool {
        self.follow.lease_quorum_until() > now
    }

    pub(crate) fn leave(&mut self, now: Mono) {
        self.leaving_since = self.leaving_since.or(Some(now));
    }

    pub(crate) fn drained(&self, now: Mono) -> bool {
        self.leaving_since.is_some_and(|t| now - t >= self.env.grace)
    }

    fn health(&self, now: Mono) -> Health {
        let (leaving, drained) = (self.leaving_since.is_some(), self.drained(now));
        // One that serves on out of touch does so for callers that have nowhere else to go.
        let has_quorum = self.in_touch(now);
        let why = match (drained, leaving, has_quorum) {
            (true, ..) => "draining",
            (_, true, _) => "leaving: takes requests for a moment yet",
            (.., false) => "no setup lease",
            _ => "",
        };
        let mut counts: Vec<_> = self.counters.iter().map(|(k, v)| (*k, *v)).collect();
        counts.extend([
            ("copies", self.copies.len() as u64),
            ("copies bytes", self.copies.bytes() as u64),
            ("items", self.follow.items.len() as u64),
            ("outcomes on their way", self.outcome_deliveries.len() as u64),
            ("forwarded calls", self.forwarded_calls.open() as u64),
        ]);
        let in_hand = (self.jobs.len() + self.outcome_deliveries.len()) as u64;
        Health { ready: why.is_empty(), why, in_hand, accepting_requests: leaving && !drained, counts }
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Out>) {
        self.subscribe(now, out);
        self.send_members_to_local_controller(now, out);
        self.check_lapse(now);
        self.report_lease_quorum(now, out);
        self.start_queued_jobs(now, out);
        self.expire_jobs(now, out);
        self.push_outcomes(now, out);
        self.advance_forwarded_calls(now, out);
        if now - self.last_sweep >= Span::ms(500) {
            self.last_sweep = now;
            self.copies.drop_old(now);
            self.unshared.retain(|_, t| *t > now);
            self.move_queued_fills_to_homes(now, out);
            self.send_fill_progress(now, out);
            self.forget_purged_tags(now);
        }
        while self.disk_cache_offers.len() > 1000 {
            self.disk_cache_offers.pop_first();
        }
    }
}

impl Part for Edge {
    fn step(&mut self, now: Mono, inp: In, out: &mut Vec<Out>) {
        match inp {
            In::Tick => self.tick(now, out),
            In::Ask(token, ask) => match ask {
                Ask::Begin(request) => self.begin(now, token, request, out),
                Ask::Done(n, outcome) => {
                    self.done(now, n, outcome, out);
                    out.push(Out::Tell(token, NodeReply::Acknowledged));
                }
                Ask::Probes => out.push(Out::Tell(token, NodeReply::Probes(self.to_probe(now)))),
                Ask::ProbeResult(addr, reply, started) => {
                    self.probed(addr, reply, started);
                    out.push(Out::Tell(token, NodeReply::Acknowledged));
                }
                Ask::Limits => out.push(Out::Tell(token, NodeReply::Limits(self.table.limits.clone()))),
                Ask::Ready => out.push(Out::Tell(token, NodeReply::Health(self.health(now)))),
                Ask::Drain => {
                    self.leave(now);
                    out.push(Out::Note("draining"));
                    out.push(Out::Tell(token, NodeReply::Health(self.health(now))));
                }
                Ask::Table => out.push(Out::Tell(token, self.own_table(now))),
                Ask::Change(change) => self.forward_call(now, token, Call::Change(change), out),
                Ask::OriginHeartbeat(heartbeat, _) => {
                    self.forward_call(now, token, Call::OriginHeartbeat(heartbeat), out)
                }
                Ask::SignOff(tag) => self.forward_call(now, token, Call::SignOff(tag), out),
                Ask::Read => self.forward_call(now, token, Call::Read(self.follow.digest()), out),
                _ => out.push(Out::Tell(token, NodeReply::Unavailable("not asked of an edge"))),
            },
            In::Msg(from, msg) => match msg {
                Msg::CallAnswered(n, answer) => self.on_call_answered(now, from, n, *answer, out),
                Msg::Update(update) => self.on_update(now, from, *update, out),
                Msg::CopyQuery { ask, object, heads, reach, held, patience } => {
                    let options = CopyRequestOptions { heads, reach, held, patience };
                    self.on_copy_query(now, (from, ask), object, options, out)
                }
                Msg::CopyPending(ask) => self.on_copy_pending(now, from, ask),
                Msg::CopyResult { ask, said: reply, purges } => {
                    self.on_copy_result(now, (from, ask), reply, purges, out)
                }
                Msg::DiskCacheWant { ask, at } => self.on_disk_cache_want(now, from, ask, at, out),
                Msg::Claimed { round, said: vote, .. } => self.on_claimed(now, from, round, vote, out),
                Msg::Kept { round, .. } => self.on_outcome_stored(now, from, round),
                _ => self.count("stray"),
            },
        }
    }
}
