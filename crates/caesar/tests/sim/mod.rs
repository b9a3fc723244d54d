//! Simulated replicas with a virtual network, disks and clock, all driven by one random seed.
mod check;
mod cmd;
mod plan;

pub use cmd::Cmd;
pub use plan::Plan;

use caesar::*;
use primitives::{Mono, Span};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

pub enum Event {
    /// Sender, recipient and message.
    Msg(usize, usize, Message<Cmd>),
    /// The disk of a node, of this incarnation, has synced the records among these outputs.
    Synced(usize, u64, Vec<Out<Cmd>>),
    /// Timer tick of a node, of this incarnation.
    Tick(usize, u64),
    Propose(usize, Cmd),
    Crash(usize),
    Restart(usize),
    /// Breaks (true) or restores (false) the link from the first node to the second, one way only.
    Cut(usize, usize, bool),
}

pub struct Node {
    /// `None` while the node is down.
    pub machine: Option<Machine<Cmd>>,
    /// Invariant: holds only synced records.
    pub disk: Vec<LogRecord<Cmd>>,
    /// Outputs that wait for the disk.
    pub outputs: VecDeque<Out<Cmd>>,
    pub syncing: bool,
    /// Number of starts; events of an earlier incarnation are ignored.
    pub incarnation: u64,
    /// Delivered commands of each key, in order, since the last start.
    pub order: BTreeMap<u8, Vec<u64>>,
    pub delivered: BTreeSet<u64>,
}

pub struct Sim {
    pub plan: Plan,
    pub now: Mono,
    pub rng: fastrand::Rng,
    pub nodes: Vec<Node>,
    pub broken_links: BTreeSet<(usize, usize)>,
    /// The order of each key's commands at the node that was first to deliver; all nodes must follow it.
    pub order: BTreeMap<u8, Vec<u64>>,
    /// Time from the proposal of a command to its delivery at the proposer.
    pub latencies: BTreeMap<u64, Span>,
    pub problems: Vec<String>,
    /// Proposer and time of each command.
    proposals: BTreeMap<u64, (usize, Mono)>,
    queue: BinaryHeap<Reverse<(Mono, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event_id: u64,
}

impl Sim {
    pub fn new(plan: Plan, seed: u64) -> Sim {
        let mut sim = Sim {
            plan,
            now: Mono(1_000_000),
            rng: fastrand::Rng::with_seed(seed),
            nodes: vec![],
            broken_links: BTreeSet::new(),
            order: BTreeMap::new(),
            latencies: BTreeMap::new(),
            problems: vec![],
            proposals: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
        };
        for i in 0..plan.n {
            sim.nodes.push(Node {
                machine: None,
                disk: vec![],
                outputs: VecDeque::new(),
                syncing: false,
                incarnation: 0,
                order: BTreeMap::new(),
                delivered: BTreeSet::new(),
            });
            sim.start(i);
        }
        sim
    }

    /// Schedules an event.
    pub fn at(&mut self, after: Span, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((self.now + after, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    /// Starts a node with what its disk holds.
    fn start(&mut self, i: usize) {
        let members = (0..self.plan.n).map(|member| MemberId(member as u16)).collect();
        let mut machine = Machine::new(MemberId(i as u16), members, self.plan.config, self.now);
        let node = &mut self.nodes[i];
        node.incarnation += 1;
        node.outputs.clear();
        node.syncing = false;
        node.order.clear();
        node.delivered.clear();
        node.disk.iter().for_each(|record| machine.replay(record.clone()));
        let mut out = vec![];
        machine.resume(self.now, &mut out);
        let incarnation = node.incarnation;
        node.machine = Some(machine);
        self.enqueue(i, out);
        self.at(Span::ms(10), Event::Tick(i, incarnation));
    }

    fn enqueue(&mut self, i: usize, out: Vec<Out<Cmd>>) {
        self.nodes[i].outputs.extend(out);
        self.process_outputs(i);
    }

    /// Carries out the queued outputs, after a sync if they include records to save.
    fn process_outputs(&mut self, i: usize) {
        if self.nodes[i].syncing || self.nodes[i].outputs.is_empty() {
            return;
        }
        let batch: Vec<_> = self.nodes[i].outputs.drain(..).collect();
        if batch.iter().any(|output| matches!(output, Out::Save(_))) {
            self.nodes[i].syncing = true;
            let (lo, hi) = self.plan.sync;
            let duration = Span(self.rng.u64(lo..=hi));
            let incarnation = self.nodes[i].incarnation;
            self.at(duration, Event::Synced(i, incarnation, batch));
        } else {
            self.carry_out(i, batch);
        }
    }

    fn carry_out(&mut self, i: usize, batch: Vec<Out<Cmd>>) {
        for output in batch {
            match output {
                Out::Save(record) => self.nodes[i].disk.push(record),
                Out::Send(to, message) => self.send(i, to.0 as usize, message),
                Out::Deliver(_, cmd) => self.on_delivered(i, cmd),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message<Cmd>) {
        if from == to {
            return self.at(Span(0), Event::Msg(from, to, message));
        }
        if self.broken_links.contains(&(from, to)) || self.rng.f64() < self.plan.drop {
            return;
        }
        let (lo, hi) = self.plan.delay;
        if self.rng.f64() < self.plan.duplicate {
            let delay = Span(self.rng.u64(lo..=hi * 20));
            self.at(delay, Event::Msg(from, to, message.clone()));
        }
        let delay = Span(self.rng.u64(lo..=hi));
        self.at(delay, Event::Msg(from, to, message));
    }

    /// Runs all events of the next `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(Reverse((time, id))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let event = self.events.remove(&id).expect("queued with its id");
            self.step(event);
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        let mut out = vec![];
        match event {
            Event::Msg(from, to, message) => {
                if let Some(machine) = &mut self.nodes[to].machine {
                    machine.take(now, MemberId(from as u16), message, &mut out);
                    self.enqueue(to, out);
                }
            }
            Event::Synced(i, incarnation, batch) => {
                if self.nodes[i].incarnation == incarnation && self.nodes[i].machine.is_some() {
                    self.nodes[i].syncing = false;
                    self.carry_out(i, batch);
                    self.process_outputs(i);
                } else if self.nodes[i].incarnation == incarnation {
                    // The node crashed during the sync: some of the records may have reached the disk.
                    let records = batch.into_iter().filter_map(|output| match output {
                        Out::Save(record) => Some(record),
                        _ => None,
                    });
                    let kept_records = self.rng.usize(0..4);
                    self.nodes[i].disk.extend(records.take(kept_records));
                }
            }
            Event::Tick(i, incarnation) => {
                let is_current = self.nodes[i].incarnation == incarnation;
                if let Some(machine) = self.nodes[i].machine.as_mut().filter(|_| is_current) {
                    machine.tick(now, &mut out);
                    self.enqueue(i, out);
                    self.at(Span::ms(10), Event::Tick(i, incarnation));
                }
            }
            Event::Propose(i, cmd) => {
                if let Some(machine) = &mut self.nodes[i].machine {
                    self.proposals.insert(cmd.id, (i, now));
                    machine.propose(now, cmd, &mut out);
                    self.enqueue(i, out);
                }
            }
            Event::Crash(i) => self.nodes[i].machine = None,
            Event::Restart(i) if self.nodes[i].machine.is_none() => self.start(i),
            Event::Restart(_) => (),
            Event::Cut(from, to, broken) => {
                if broken {
                    self.broken_links.insert((from, to));
                } else {
                    self.broken_links.remove(&(from, to));
                }
            }
        }
    }
}
