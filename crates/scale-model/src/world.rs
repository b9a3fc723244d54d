//! Virtual time: one queue of events, drawn from one seed. Every message is framed as on a
//! link, checked and decoded by its receiver; only thin edges are handed a trimmed one.
use crate::delivery::Envelope;
use crate::fleet::Started;
use crate::meter::*;
use crate::part::SimulatedPart;
use crate::plan::*;
use crate::state::{beat, place};
use control_state::*;
use primitives::{Addr, Mono, Span, Token};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

const TICK: Span = Span::ms(10);
const BEAT_INTERVAL: Span = Span::ms(200);
const POLL_INTERVAL: Span = Span::ms(50);
/// Well above zero, so that spans can be subtracted.
const START: Mono = Mono(100_000_000);

/// One simulated process.
pub(crate) struct Process {
    pub addr: Addr,
    pub role: Role,
    /// Region and zone.
    pub place: (usize, usize),
    pub part: SimulatedPart,
    /// Outputs that wait for a sync under way.
    pub outputs: VecDeque<Out>,
    pub syncing: bool,
    pub tally: Tally,
}

/// Something that happens. Processes are named by their numbers.
pub(crate) enum Event {
    Message {
        from: Addr,
        to: usize,
        envelope: Envelope,
    },
    Tick(usize),
    /// The disk has synced; then the outputs go out.
    Synced(usize, Vec<Out>),
    /// An origin sends its beat.
    OriginHeartbeat(usize),
    Change(usize, Token, Change),
}

/// An event and its time; those of one time are in the order in which they were scheduled.
struct Scheduled {
    at: Mono,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A purge or another change, followed until every node has it.
#[derive(Clone, Debug)]
pub(crate) struct WatchedChange {
    pub asked: Mono,
    /// By node.
    pub seen: Vec<bool>,
    /// How many nodes lack it.
    pub lacking: usize,
    /// When the last node so far got it.
    pub last: Mono,
    pub in_force: Option<Mono>,
    pub refused: bool,
}

impl WatchedChange {
    pub(crate) fn arrived(&mut self, node: usize, now: Mono) {
        if !std::mem::replace(&mut self.seen[node], true) {
            self.lacking -= 1;
            self.last = now;
        }
    }
}

/// The simulated fleet.
pub(crate) struct World {
    pub plan: Plan,
    pub now: Mono,
    pub rng: fastrand::Rng,
    pub processes: Vec<Process>,
    pub by_addr: BTreeMap<Addr, usize>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// When the last message on each link arrives: a link keeps its order.
    pub links: HashMap<(usize, usize), Mono>,
    scheduled: u64,
    pub meter: Meter,
    pub changes: Vec<WatchedChange>,
    /// Numbers of watched changes by their fingerprints.
    pub watch: BTreeMap<u64, usize>,
    /// Numbers of watched changes by the questions that asked for them.
    pub asked: BTreeMap<Token, usize>,
    next_token: u64,
}

/// What a watched item goes by: a purge's scope is its own, any other has versions.
pub(crate) fn fingerprint(key: &Key, version: u64) -> u64 {
    primitives::hash(&(key, if matches!(key, Key::Purge(..)) { 0 } else { version }))
}

impl World {
    pub(crate) fn new(plan: Plan) -> Result<World> {
        Ok(World {
            rng: fastrand::Rng::with_seed(plan.seed),
            now: START,
            processes: vec![],
            by_addr: BTreeMap::new(),
            queue: BinaryHeap::new(),
            links: HashMap::new(),
            scheduled: 0,
            meter: Meter::new()?,
            changes: vec![],
            watch: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_token: 0,
            plan,
        })
    }

    pub(crate) fn schedule(&mut self, after: Span, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at: self.now + after, number: self.scheduled, event }));
    }

    /// Adds a process; it ticks from then on. `number` decides its place.
    pub(crate) fn add(&mut self, addr: Addr, role: Role, number: usize, (part, outputs): Started) {
        let (i, place) = (self.processes.len(), place(number));
        let (outputs, tally) = (outputs.into(), Tally::default());
        self.processes.push(Process { addr, role, place, part, outputs, syncing: false, tally });
        self.by_addr.insert(addr, i);
        self.flush(i);
        let first = Span(self.rng.u64(0..TICK.0));
        self.schedule(first, Event::Tick(i));
    }

    /// All origins send beats from now on.
    pub(crate) fn start_beats(&mut self) {
        for origin in 0..self.plan.origins() {
            let first = Span(self.rng.u64(0..BEAT_INTERVAL.0));
            self.schedule(first, Event::OriginHeartbeat(origin));
        }
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    /// Asks a controller for a change, and watches for its fingerprint at all nodes.
    pub(crate) fn change(&mut self, after: Span, controller: usize, op: Op, fingerprint: u64) {
        let (token, nodes, asked) = (self.token(), self.plan.nodes, self.now + after);
        let (number, seen) = (self.changes.len(), vec![false; nodes]);
        let change =
            WatchedChange { asked, seen, lacking: nodes, last: asked, in_force: None, refused: false };
        self.changes.push(change);
        self.watch.insert(fingerprint, number);
        self.asked.insert(token, number);
        let id = format!("change-{:08}", token.0);
        let change = Change { id: Some(id.as_str().into()), op };
        self.schedule(after, Event::Change(controller, token, change));
    }

    /// Runs for so long.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.handle(next.event);
        }
        self.now = end;
    }

    /// Runs until the condition holds, at most so long; false if it never did.
    pub(crate) fn run_until(&mut self, longest: Span, condition: impl Fn(&World) -> bool) -> bool {
        let end = self.now + longest;
        while self.now < end && !condition(self) {
            self.run(POLL_INTERVAL);
        }
        condition(self)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { from, to, envelope } => self.receive(from, to, envelope),
            Event::Tick(i) => {
                self.step(i, In::Tick);
                self.schedule(TICK, Event::Tick(i));
            }
            Event::Synced(i, outputs) => {
                self.processes[i].syncing = false;
                self.carry_out(i, outputs);
                self.flush(i);
            }
            Event::OriginHeartbeat(origin) => {
                let (token, beat) = (self.token(), beat(&self.plan, origin));
                self.step(origin % CONTROLLERS, In::Ask(token, Ask::OriginHeartbeat(beat, None)));
                self.schedule(BEAT_INTERVAL, Event::OriginHeartbeat(origin));
            }
            Event::Change(controller, token, change) => {
                self.step(controller, In::Ask(token, Ask::Change(change)))
            }
        }
    }
}
