//! Real ledgers with a model of the edges, the leader and the network around them, whose
//! actions may come in any order.
use super::common::{addr, CONTROLLER};
use super::model::*;
use control_state::*;
use ledger::Ledger;
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The edge that sends the claims and receives the votes.
const EDGE: u16 = 50;
const KEY: &str = "pay/k";

/// One attempt to run the key.
#[derive(Clone, Debug, Hash)]
pub struct Round {
    id: u64,
    version: u64,
    replicas: Vec<Vec<u16>>,
    votes: BTreeSet<u16>,
    /// It makes no more claims and will never leave its edge.
    ended: bool,
    pub ran: bool,
}

#[derive(Clone)]
pub struct Fleet {
    without: Without,
    /// The versions of the ledger sets, in the order in which the leader proposes them.
    plan: Vec<Vec<Vec<u16>>>,
    /// Index in `plan` of the version in force.
    pub phase: usize,
    ledgers: BTreeMap<u16, Rc<Ledger>>,
    /// A hash of each ledger's whole state.
    ledger_hashes: BTreeMap<u16, u64>,
    /// A message that is never delivered stands for one that is lost.
    pub in_flight: Vec<InFlight>,
    pub rounds: Vec<Round>,
    filled: BTreeSet<u16>,
    pub lost: Option<u16>,
    pub reopened: bool,
    now: Mono,
}

fn port(addr: Addr) -> u16 {
    addr.0.port()
}

impl Fleet {
    /// All ledgers of any version, with the first version in force.
    pub fn new(plan: Vec<Vec<Vec<u16>>>, without: Without) -> Fleet {
        let now = Mono(1_000_000);
        let all: BTreeSet<u16> = plan.iter().flatten().flatten().copied().collect();
        let ledgers = all.iter().map(|port| (*port, Rc::new(start(*port, 1, now, without)))).collect();
        let ledger_hashes = BTreeMap::new();
        let (in_flight, rounds, filled) = (vec![], vec![], BTreeSet::new());
        let (phase, lost, reopened) = (0, None, false);
        let mut fleet = Fleet {
            without,
            plan,
            phase,
            ledgers,
            ledger_hashes,
            in_flight,
            rounds,
            filled,
            lost,
            reopened,
            now,
        };
        fleet.update_all();
        fleet
    }

    fn version(&self) -> Version {
        Version(self.phase as u64 + 1)
    }

    fn update_all(&mut self) {
        let (all, update): (Vec<u16>, Msg) = (
            self.ledgers.keys().copied().collect(),
            update(&self.plan[self.phase], self.version(), self.now),
        );
        all.into_iter().for_each(|port| self.send_at_once(CONTROLLER, port, update.clone()));
    }

    fn send_at_once(&mut self, from: u16, to: u16, message: Msg) {
        self.receive(InFlight::new(from, to, message));
    }

    fn receive(&mut self, message: InFlight) {
        self.step(message.to, In::Msg(addr(message.from), (*message.message).clone()));
    }

    fn step(&mut self, at: u16, input: In) {
        let mut out = vec![];
        let ledger = self.ledgers.get_mut(&at).expect("a ledger of some version");
        Rc::make_mut(ledger).step(self.now, input, &mut out);
        self.ledger_hashes.insert(at, primitives::hash(&format!("{ledger:?}")));
        for output in out {
            if let Out::Send(to, message) = output {
                self.on_sent(at, port(to), message);
            }
        }
    }

    fn on_sent(&mut self, from: u16, to: u16, message: Msg) {
        match message {
            Msg::Claimed { round, said, .. } => self.on_vote(from, round.n, said),
            // Further answers to this ledger's recalls would only raise fences and repeat records.
            Msg::Filled { roll, .. } if roll == self.version() => {
                self.filled.insert(from);
                self.in_flight.retain(|m| m.from != from);
            }
            // An answer changes only the ledger that asked, so delivering it later gives no
            // states beyond those of delivering it at once.
            Msg::Recalled { .. } => self.send_at_once(from, to, message),
            Msg::Recall { .. } => self.in_flight.push(InFlight::new(from, to, message)),
            _ => (),
        }
    }

    fn on_vote(&mut self, from: u16, round: u64, answer: Claimed) {
        let Some(round) = self.rounds.iter_mut().find(|r| r.id == round) else { return };
        if answer == Claimed::Granted && !round.ended {
            round.votes.insert(from);
            let has_quorum = |set: &Vec<u16>| {
                set.iter().filter(|port| round.votes.contains(port)).count() >= quorum(LOSSES)
            };
            round.ran |= round.replicas.iter().all(has_quorum);
        }
    }

    /// An edge claims the key under the version of this phase.
    pub fn begin_round(&mut self, phase: usize) {
        let (id, version) = (self.rounds.len() as u64 + 1, phase as u64 + 1);
        let replicas = self.plan[phase].clone();
        let round = RoundId { node: NodeId(9), birth: Birth(1), n: id };
        let claimed = if self.without == Without::Fence { u64::MAX } else { version };
        let claim =
            Msg::Claim { key: KEY.into(), print: Fingerprint([1; 32]), round, roll: Version(claimed) };
        let to: BTreeSet<u16> = replicas.iter().flatten().copied().collect();
        self.in_flight.extend(to.into_iter().map(|port| InFlight::new(EDGE, port, claim.clone())));
        let (votes, ended, ran) = (BTreeSet::new(), false, false);
        self.rounds.push(Round { id, version, replicas, votes, ended, ran });
    }

    /// The messages in flight to all other ledgers are lost.
    pub fn drop_messages_except_to(&mut self, ledgers: &[u16]) {
        self.in_flight.retain(|m| ledgers.contains(&m.to));
    }

    /// The round ends and releases its key; any of the releases may be lost.
    pub fn release(&mut self, i: usize) {
        let ended = &mut self.rounds[i];
        ended.ended = true;
        let round = RoundId { node: NodeId(9), birth: Birth(1), n: ended.id };
        let to: BTreeSet<u16> = ended.replicas.iter().flatten().copied().collect();
        self.in_flight
            .retain(|m| !matches!(*m.message, Msg::Claim { round: claimed, .. } if claimed == round));
        let release = Msg::Release { key: KEY.into(), round };
        self.in_flight.extend(to.into_iter().map(|port| InFlight::new(EDGE, port, release.clone())));
    }

    pub fn may_release(&self, i: usize) -> bool {
        !self.rounds[i].ran && !self.rounds[i].ended
    }

    /// Whether the leader may propose the next version.
    pub fn may_advance(&self) -> bool {
        let Some(next) = self.plan.get(self.phase + 1) else { return false };
        let removes_set = next.len() < self.plan[self.phase].len();
        let filled =
            self.plan[self.phase].last().is_some_and(|set| set.iter().all(|p| self.filled.contains(p)));
        !removes_set || filled || self.without == Without::Filling
    }

    /// The next version is decided and in force; a newer set is asked to fill.
    pub fn advance(&mut self) {
        self.phase += 1;
        self.filled.clear();
        self.in_flight.retain(|m| !matches!(*m.message, Msg::Recall { .. }));
        self.update_all();
        let sets = self.plan[self.phase].clone();
        let newer = sets.get(1).filter(|_| self.without != Without::Filling);
        for port in newer.into_iter().flatten() {
            self.send_at_once(CONTROLLER, *port, Msg::Fill { roll: self.version() });
        }
    }

    pub fn deliver(&mut self, i: usize) {
        let message = self.in_flight.remove(i);
        self.receive(message);
    }

    /// The members of all ledger sets in force.
    pub fn members(&self) -> BTreeSet<u16> {
        self.plan[self.phase].iter().flatten().copied().collect()
    }

    /// A ledger loses its disk and restarts at once on a new one.
    pub fn lose_disk(&mut self, port: u16) {
        self.lost = Some(port);
        self.ledgers.insert(port, Rc::new(start(port, 2, self.now, self.without)));
        self.send_at_once(CONTROLLER, port, update(&self.plan[self.phase], self.version(), self.now));
    }

    /// Once the time in which a round may leave is over, the ledger with the new disk recalls;
    /// rounds claimed before leave no more.
    pub fn reopen(&mut self) {
        self.reopened = true;
        if self.without != Without::LeaveTime {
            self.now = self.now + LEAVE.padded() + Span::ms(100);
            self.rounds.iter_mut().for_each(|round| round.ended = true);
            self.in_flight.retain(|m| !matches!(*m.message, Msg::Claim { .. }));
        }
        let port = self.lost.expect("a disk was lost");
        self.step(port, In::Tick);
    }

    /// Number of rounds that ran.
    pub fn rounds_run(&self) -> usize {
        self.rounds.iter().filter(|round| round.ran).count()
    }

    /// Equal for states that continue alike.
    pub fn state_hash(&self) -> u64 {
        let mut in_flight: Vec<u64> = self.in_flight.iter().map(|m| m.hash).collect();
        in_flight.sort();
        primitives::hash(&(
            &self.ledger_hashes,
            in_flight,
            &self.rounds,
            self.phase,
            &self.filled,
            self.lost,
            self.reopened,
        ))
    }
}
