//! The controller: its state, its start and its tick.
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
use crate::pending::{Pending, PendingChange};
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

/// One controller: a member, or one that has not joined yet or was removed.
pub struct Controller {
    pub(crate) env: ControllerEnv,
    /// Incarnation of the disk. Invariant: an empty disk gets a new random one.
    pub(crate) birth: Birth,
    /// The state that the era started from, and the state now.
    pub(crate) base: ControlState,
    pub(crate) state: ControlState,
    /// `None` while it is not a member.
    pub(crate) consensus: Option<Machine<Cmd>>,
    pub(crate) member_id: MemberId,
    /// This disk dates from the first start of the deployment: it has founded only if its records say so.
    pub(crate) first: bool,
    /// Controllers that announced themselves as not joined, and when.
    pub(crate) unjoined: BTreeMap<Addr, (Member, Mono)>,
    pub(crate) subscribers: BTreeMap<NodeId, Subscriber>,
    /// Id of the update stream that was started last.
    pub(crate) last_stream: u64,
    /// Subscribers that are not registered, and when their first subscription came.
    pub(crate) newcomers: BTreeMap<NodeId, Mono>,
    /// The last `OriginHeartbeat` of each origin.
    pub(crate) beats: BTreeMap<Addr, ReceivedHeartbeat>,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) contact: Contact,
    /// Incarnations of origins whose drain is known to be in force.
    pub(crate) drained: BTreeMap<Addr, Birth>,
    /// Heartbeats received up to this time were relayed.
    pub(crate) last_relay: Mono,
    /// Hashes of operations recently proposed without an operator, to avoid repeating them.
    pub(crate) recent_proposals: BTreeMap<u64, Mono>,
    /// Commands that were proposed or joined here and are not concluded.
    pub(crate) pending: BTreeMap<CommandId, Pending>,
    /// Changes that wait until the pending batch is delivered, to be proposed together.
    pub(crate) queued_changes: Vec<PendingChange>,
    /// Delivered commands that some subscriber with an unexpired lease from here lacks.
    pub(crate) lagging_subscribers: BTreeMap<CommandId, Vec<(NodeId, u64)>>,
    /// Members to be told, besides the proposer, when a command is in force here.
    pub(crate) in_force_requesters: BTreeMap<CommandId, BTreeSet<Addr>>,
    /// Commands applied here and not known to be applied by a classic quorum.
    pub(crate) unconfirmed: BTreeMap<CommandId, UnconfirmedUpdate>,
    /// For each earlier membership, the members that have retired it.
    pub(crate) landed: Landed,
    /// When this process started.
    pub(crate) started: Mono,
    /// Since when, in this process, it has been a member.
    pub(crate) seated: Mono,
    /// Members heard from in this era.
    pub(crate) heard: BTreeSet<MemberId>,
    /// Callers of pending reads.
    pub(crate) readers: BTreeMap<CommandId, Reader>,
    pub(crate) leadership: Leadership,
    pub(crate) all_keys: KeyList,
    pub(crate) subscriber_counts: SubscriberCounts,
    pub(crate) lending: Lending,
    pub(crate) roll: LedgerSetWatch,
    pub(crate) said: BTreeMap<Addr, Mono>,
    /// Whether it could decide anything at the last tick.
    in_touch: bool,
    pub(crate) era_end_proposed_at: Option<Mono>,
    /// Forwarded calls: the node and its request id, by the token given to the call here.
    pub(crate) calls: BTreeMap<Token, (Addr, RequestId)>,
    pub(crate) next_call: u64,
    /// The unjoined controller nominated to found the deployment, and when it was chosen.
    pub(crate) named: Option<(Birth, Mono)>,
    pub(crate) watch: MembershipWatch,
    pub(crate) log: LogSize,
    pub(crate) disk: DiskHealth,
    pub(crate) transfer: SnapshotTransfer,
    pub(crate) directory: Directory,
    pub(crate) counts: BTreeMap<&'static str, u64>,
    /// When each periodic task last ran.
    last_runs: BTreeMap<&'static str, Mono>,
}

impl Controller {
    /// Starts with the records of the disk; `life` is a random number, new for each process.
    pub fn start(
        env: ControllerEnv,
        kept: Vec<Kept>,
        life: u64,
        now: Mono,
        out: &mut Vec<Out>,
    ) -> Controller {
        let mut controller = Controller {
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
            recent_proposals: BTreeMap::new(),
            pending: BTreeMap::new(),
            queued_changes: vec![],
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
            last_runs: BTreeMap::new(),
            env,
        };
        let empty_disk = kept.is_empty();
        controller.wake(kept, now, out);
        if empty_disk {
            out.push(Out::Base(Kept::Unjoined(controller.birth).encode()));
            controller.first = controller.env.open.is_some_and(|o| o.initial);
            out.extend(Some(Out::Save(Kept::First.encode())).filter(|_| controller.first));
        }
        controller.found_as_first_seed(now, out);
        controller
    }

    /// Whether the periodic task of this name is due. If so, it is next due after `every`.
    pub(crate) fn due(&mut self, name: &'static str, every: Span, now: Mono) -> bool {
        let last_run = self.last_runs.entry(name).or_default();
        let due = now - *last_run >= every;
        if due {
            *last_run = now;
        }
        due
    }

    pub(crate) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    pub(crate) fn tick(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.due("blank", Span::ms(200), now) {
            self.announce_unjoined(now, out);
        }
        self.search_members(now, out);
        self.announce_leaving(now, out);
        self.maintain_open_deployment(now, out);
        self.with_machine(now, out, |m, o| m.tick(now, o));
        let in_touch = self.may_decide(now);
        if self.in_touch && !in_touch {
            out.push(Out::Alarm("no contact with a majority of the controllers: no change can be decided"));
            self.reject_waiting_callers(now, out);
        }
        self.in_touch = in_touch;
        self.propose_queued_changes(now, out);
        self.land(now, out);
        self.force(now, out);
        self.query_applied(now, out);
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
