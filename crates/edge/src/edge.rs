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
use crate::shared_fetch::SharedFetches;
use crate::table::Table;
use control_state::*;
use primitives::{Addr, Mono, ResponseTimeEstimator, Span};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Settings of one edge.
#[derive(Clone, Debug)]
pub struct EdgeEnv {
    /// Identity of the node and how it follows the control state.
    pub follow: FollowerEnv,
    /// An origin without heartbeats or a successful probe for this long is not used.
    pub fresh: Span,
    /// How long an origin may take to answer, where no configuration entry sets a time-out.
    pub patience: Span,
    /// Size limit of the cached copies, in bytes.
    pub copies: usize,
    /// Limits on in-flight requests: of one service, and in total.
    pub hands: (usize, usize),
    /// How long an edge that is leaving still accepts requests, so that callers have time to
    /// notice.
    pub grace: Span,
    /// Number of ledger disks that may be lost at once; the same on every edge and ledger.
    pub losses: usize,
    /// Whether copies are offered to, and requested from, the ledgers' disk caches.
    pub disk_cache: bool,
    /// An attempt whose key was granted must be sent within this time; the same on every edge and
    /// ledger.
    pub leave: Span,
    /// The controller in the same process, if there is one; it is sent the membership.
    pub controller: Option<Addr>,
    /// Behaviour that a deployment may choose.
    pub policy: EdgePolicy,
}

/// The decision state of one edge. It is driven by [`Part::step`].
pub struct Edge {
    pub(crate) env: EdgeEnv,
    pub(crate) follow: Follower,
    /// Derived from the items in `follow`; rebuilt whenever they change.
    pub(crate) table: Arc<Table>,
    /// The lease has expired since the copies were last discarded.
    pub(crate) lapsed: bool,
    pub(crate) had_lease_quorum: bool,
    pub(crate) origin_health: OriginHealth,
    pub(crate) admission: Admission,
    pub(crate) copies: Copies,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) shared_fetches: SharedFetches,
    pub(crate) rounds: BTreeMap<u64, u64>,
    /// Digest of all known purges; `None` after a purge arrived, until it is needed again.
    pub(crate) purge_digest: Option<u64>,
    /// Copies offered to ledgers, by the job that fetched them.
    pub(crate) disk_cache_offers: BTreeMap<u64, Object>,
    pub(crate) outcome_deliveries: Vec<OutcomeDelivery>,
    /// Objects whose recent responses may not be cached. Until the given time each caller's
    /// request for them goes to the origin by itself.
    pub(crate) unshared: BTreeMap<Object, Mono>,
    pub(crate) body_sizes: BodySizes,
    pub(crate) purged_tags: PurgedTags,
    /// Response times of homes, by reach.
    pub(crate) answer_times: BTreeMap<Reach, ResponseTimeEstimator>,
    /// Edges and ledgers that recently did not answer, and until when they are skipped.
    pub(crate) unresponsive: BTreeMap<Addr, Mono>,
    pub(crate) forwarded_calls: ForwardedCalls,
    pub(crate) local_controller: LocalControllerState,
    /// When expired copies were last removed.
    last_sweep: Mono,
    pub(crate) last_number: u64,
    /// When the edge began to leave: it reports not ready at once, but accepts requests for
    /// `grace`.
    pub(crate) leaving_since: Option<Mono>,
    pub(crate) memory_pressure: MemoryPressure,
    pub(crate) counters: BTreeMap<&'static str, u64>,
    pub(crate) metrics: EdgeMetrics,
}

impl Edge {
    /// An edge without configuration, copies or lease.
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
            shared_fetches: SharedFetches::new(),
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
            // Each incarnation starts at a different number, because some choices are spread by it.
            // Answers are matched to requests by incarnation as well, see `answers`.
            last_number: env.follow.birth.0 << 20,
            leaving_since: None,
            memory_pressure: MemoryPressure::None,
            counters: BTreeMap::new(),
            metrics: EdgeMetrics::default(),
            env,
        }
    }

    /// The control-state items known here.
    pub fn items(&self) -> &BTreeMap<Key, Item> {
        &self.follow.items
    }

    /// The edge's metrics, for a registry. The clone counts into the same values.
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

    /// Until when the edge may serve: until its lease expires, or without limit if it may serve
    /// without a lease and was in touch with the controllers before.
    pub fn leased_until(&self) -> Mono {
        self.follow.leased_until()
    }

    /// Whether the edge may serve at `now`, see [`Edge::leased_until`].
    pub fn leased(&self, now: Mono) -> bool {
        self.follow.leased(now)
    }

    /// Whether enough controllers renew the lease to meet every classic quorum, so that everything
    /// in force is known here. An edge that serves without a lease may be out of touch.
    pub fn in_touch(&self, now: Mono) -> bool {
        self.follow.lease_quorum_until() > now
    }

    pub(crate) fn leave(&mut self, now: Mono) {
        self.leaving_since = self.leaving_since.or(Some(now));
    }

    pub(crate) fn drained(&self, now: Mono) -> bool {
        self.leaving_since.is_some_and(|t| now - t >= self.env.grace)
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
            In::CallerGone(token) => self.on_caller_gone(now, token, out),
            In::Read(..) => (),
            In::Ask(token, ask) => match ask {
                Ask::Begin(request) => self.begin(now, token, request, out),
                Ask::Done(n, outcome) => {
                    self.on_attempt_done(now, n, outcome, out);
                    out.push(Out::Tell(token, NodeReply::Acknowledged));
                }
                Ask::Probes => out.push(Out::Tell(token, NodeReply::Probes(self.to_probe(now)))),
                Ask::ProbeResult(addr, reply, started) => {
                    self.on_probe_result(addr, reply, started);
                    out.push(Out::Tell(token, NodeReply::Acknowledged));
                }
                Ask::Limits => out.push(Out::Tell(token, NodeReply::Limits(self.table.limits.clone()))),
                Ask::MemoryPressure(pressure) => {
                    self.on_memory_pressure(pressure);
                    out.push(Out::Tell(token, NodeReply::Acknowledged));
                }
                Ask::Ready => out.push(Out::Tell(token, NodeReply::Health(self.health(now)))),
                Ask::Drain => {
                    self.leave(now);
                    out.push(Out::Note("draining"));
                    out.push(Out::Tell(token, NodeReply::Health(self.health(now))));
                }
                Ask::Table => out.push(Out::Tell(token, self.own_table(now))),
                Ask::Change(change) => self.forward_call(now, token, Call::Change(change), out),
                Ask::OriginHeartbeat(origin_heartbeat, _) => {
                    self.forward_call(now, token, Call::OriginHeartbeat(origin_heartbeat), out)
                }
                Ask::SignOff(tag) => self.forward_call(now, token, Call::SignOff(tag), out),
                Ask::Read => self.forward_call(now, token, Call::Read(self.follow.digest()), out),
                _ => out.push(Out::Tell(token, NodeReply::Unavailable("not supported by an edge"))),
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
