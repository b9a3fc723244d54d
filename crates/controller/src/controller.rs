use crate::contact::Contact;
use crate::directory::Directory;
use crate::disk_health::DiskHealth;
use crate::heartbeats::{PauseDetector, ReceivedHeartbeat};
use crate::key_list::KeyList;
use crate::leadership::Leadership;
use crate::ledger_sets::LedgerSetWatch;
use crate::lending::Lending;
use crate::log::LogSize;
use crate::membership::MembershipWatch;
use crate::pending::{Asked, Pending};
use crate::reading::Reader;
use crate::retired_memberships::Landed;
pub use crate::settings::{ControllerEnv, Open};
use crate::snapshot_transfer::SnapshotTransfer;
use crate::stored_records::Kept;
use crate::subscribers::Subscriber;
use crate::update_terms::SubscriberCounts;
use crate::visibility::UnconfirmedUpdate;
use caesar::{CommandId, Machine, MemberId};
use control_state::*;
use primitives::{Addr, Birth, Mono, NodeId, Span, Token};
use std::collections::{BTreeMap, BTreeSet};

/// One controller: a member of the membership, or one that has yet to join it.
pub struct Controller {
    pub(crate) env: ControllerEnv,
    /// Invariant: the life of the disk; a new disk draws a new one.
    pub(crate) birth: Birth,
    /// The state the era started from, and the state now.
    pub(crate) base: ControlState,
    pub(crate) state: ControlState,
    /// None while blank or retired.
    pub(crate) consensus: Option<Machine<Cmd>>,
    pub(crate) member_id: MemberId,
    /// This disk began with the deployment itself: it never founded unless it says so.
    pub(crate) first: bool,
    pub(crate) unjoined: BTreeMap<Addr, (Member, Mono)>,
    pub(crate) subscribers: BTreeMap<NodeId, Subscriber>,
    /// The number of the last update stream started.
    pub(crate) last_stream: u64,
    /// Since when followers without a seat turn to this controller.
    pub(crate) newcomers: BTreeMap<NodeId, Mono>,
    pub(crate) beats: BTreeMap<Addr, ReceivedHeartbeat>,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) contact: Contact,
    /// Lives of origins whose drain this controller knows to be in force.
    pub(crate) drained: BTreeMap<Addr, Birth>,
    /// Beats heard up to then were passed on.
    pub(crate) last_relay: Mono,
    /// What was lately proposed without an operator, so as not to repeat it.
    pub(crate) derived: BTreeMap<u64, Mono>,
    pub(crate) pending: BTreeMap<CommandId, Pending>,
    /// Purges that wait for the one under way, to travel together.
    pub(crate) line: Vec<Asked>,
    /// Delivered changes that some edge with a live lease from here still lacks.
    pub(crate) lagging_subscribers: BTreeMap<CommandId, Vec<(NodeId, u64)>>,
    /// Members to be told, beside its leader, when a change is in force here.
    pub(crate) in_force_requesters: BTreeMap<CommandId, BTreeSet<Addr>>,
    /// Applied here, but not yet known to be applied by a classic quorum.
    pub(crate) unconfirmed: BTreeMap<CommandId, UnconfirmedUpdate>,
    /// Who of earlier rosters is past them.
    pub(crate) landed: Landed,
    /// When this process began.
    pub(crate) started: Mono,
    /// Since when, in this process, it has had a seat.
    pub(crate) seated: Mono,
    /// Who was heard in this era.
    pub(crate) heard: BTreeSet<MemberId>,
    pub(crate) readers: BTreeMap<CommandId, Reader>,
    pub(crate) leadership: Leadership,
    pub(crate) all_keys: KeyList,
    pub(crate) subscriber_counts: SubscriberCounts,
    pub(crate) lending: Lending,
    pub(crate) roll: LedgerSetWatch,
    pub(crate) said: BTreeMap<Addr, Mono>,
    /// Could decide something when last looked at.
    in_touch: bool,
    pub(crate) era_end_proposed_at: Option<Mono>,
    /// Callers through other nodes, by the tokens given to their calls.
    pub(crate) calls: BTreeMap<Token, (Addr, RequestId)>,
    pub(crate) next_call: u64,
    /// The blank controller named to found, and since when.
    pub(crate) named: Option<(Birth, Mono)>,
    pub(crate) watch: MembershipWatch,
    pub(crate) log: LogSize,
    pub(crate) disk: DiskHealth,
    pub(crate) transfer: SnapshotTransfer,
    pub(crate) directory: Directory,
    pub(crate) counts: BTreeMap<&'static str, u64>,
    last: BTreeMap<&'static str, Mono>,
}

impl Controller {
    /// Starts on what the disk holds; `life` is a fresh random number.
    pub fn start(
        env: ControllerEnv,
        kept: Vec<Kept>,
        life: u64,
        now: Mono,
        out: &mut Vec<Out>,
    ) -> Controller {
        let mut k = Controller {
            birth: Birth(life),
            base: ControlState::default(),
            state: ControlState::default(),
            consensus: None,
            member_id: MemberId(0),
            first: false,
            unjoined: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            last_stream: life << 16,
            newcomers: BTreeMap::new(),
            beats: BTreeMap::new(),
            pause_detector: PauseDetector::new(now),
            contact: Contact::new(now),
            drained: BTreeMap::new(),
            last_relay: Mono(0),
            derived: BTreeMap::new(),
            pending: BTreeMap::new(),
            line: vec![],
            lagging_subscribers: BTreeMap::new(),
            in_force_requesters: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            landed: Landed::new(),
            started: now,
            seated: now,
            heard: BTreeSet::new(),
            readers: BTreeMap::new(),
            leadership: Leadership::new(now),
            all_keys: KeyList::default(),
            subscriber_counts: SubscriberCounts::default(),
            lending: Lending::default(),
            roll: LedgerSetWatch::default(),
            said: BTreeMap::new(),
            in_touch: false,
            era_end_proposed_at: None,
            calls: BTreeMap::new(),
            next_call: 0,
            named: None,
            watch: MembershipWatch::default(),
            log: LogSize::default(),
            disk: DiskHealth::default(),
            transfer: SnapshotTransfer::default(),
            directory: Directory::default(),
            counts: BTreeMap::new(),
            last: BTreeMap::new(),
            env,
        };
        let blank = kept.is_empty();
        k.wake(kept, now, out);
        if blank {
            out.push(Out::Base(Kept::Unjoined(k.birth).encode()));
            k.first = k.env.open.is_some_and(|o| o.initial);
            out.extend(Some(Out::Save(Kept::First.encode())).filter(|_| k.first));
        }
        k.found_as_first_seed(now, out);
        k
    }

    /// True at most once per `every` for each name.
    pub(crate) fn due(&mut self, name: &'static str, every: Span, now: Mono) -> bool {
        let was = self.last.entry(name).or_default();
        let due = now - *was >= every;
        if due {
            *was = now;
        }
        due
    }

    pub(crate) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.due("blank", Span::ms(200), now) {
            self.announce_unjoined(now, out);
        }
        self.search_members(now, out);
        self.announce_leaving(now, out);
        self.maintain_open_deployment(now, out);
        self.with_machine(now, out, |m, o| m.tick(now, o));
        let in_touch = self.may_decide(now);
        if self.in_touch && !in_touch {
            out.push(Out::Alarm("out of contact with most controllers: nothing can be decided"));
            self.reject_waiting_callers(now, out);
        }
        self.in_touch = in_touch;
        self.send_queued_purges(now, out);
        self.land(now, out);
        self.force(now, out);
        self.ask_applied(now, out);
        self.report_slow_disk(now, out);
        self.lead(now, out);
        if self.due("beats", Span::ms(100), now) {
            self.relay_heartbeats(now, out);
        }
        self.push_snapshots(now, out);
        self.maybe_end_era(now, out);
        self.compact_log(out);
    }
}

impl Part for Controller {
    fn step(&mut self, now: Mono, inp: In, out: &mut Vec<Out>) {
        self.pause_detector.step(now);
        let first = out.len();
        match inp {
            In::Tick => self.tick(now, out),
            In::Ask(t, a) => self.ask(now, t, a, out),
            In::Msg(from, m) => match m {
                Msg::Agreement(era, member_id, w) => self.on_agreement(now, from, era, member_id, *w, out),
                Msg::Unjoined(m) => self.on_unjoined(now, m, out),
                Msg::Snapshot(m) => self.on_snapshot(now, from, *m, out),
                Msg::WantSnapshot(era, birth) => self.on_want(now, from, era, birth, out),
                Msg::Heartbeats(bs, at, echo) => self.on_relayed_heartbeats(now, from, bs, at, echo),
                Msg::InForceQuery(era, cid) => self.on_ask_force(from, era, cid, out),
                Msg::InForce(era, cid, member_id) => self.on_in_force(now, era, cid, member_id, out),
                Msg::Applied(era, cid, member_id) => self.on_applied(now, era, cid, member_id, out),
                Msg::SnapshotStored(era, birth) => self.on_snapshot_confirmed(now, from, era, birth),
                Msg::Leaving(member_id) => self.on_leaving(now, member_id),
                Msg::Landed(said) => self.on_membership_retired(now, said, out),
                Msg::AppliedQuery(era, cid) => self.on_ask_applied(from, era, cid, out),
                Msg::LeadershipRequest { candidate, epoch, asked } => {
                    self.on_ask_leadership(now, from, (candidate, epoch, asked), out)
                }
                Msg::LeadershipVote { voter, epoch, granted } => {
                    self.on_leadership_vote(voter, epoch, granted)
                }
                Msg::Synced(then) if from == self.env.addr => self.disk.synced(now, then),
                Msg::SlowDisk(member_id) => self.disk.on_slow(now, member_id),
                Msg::Got { id, feed, got } => self.on_acknowledgement(now, id, feed, got, out),
                Msg::Sub(s) if self.consensus.is_none() => self.redirect_subscriber(from, &s, out),
                Msg::Sub(s) => self.on_subscription(now, from, *s, out),
                Msg::Membership(era, ms) => self.on_membership(era, ms),
                Msg::Found(b) => self.on_found(now, b, out),
                Msg::Call(n, c) => self.on_call(now, from, n, *c, out),
                Msg::Filled { id, roll } => self.on_filled(id, roll),
                _ => self.count("stray"),
            },
        }
        self.answer_calls(first, out);
    }
}
