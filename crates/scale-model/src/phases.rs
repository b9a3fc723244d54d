//! The phases of a run (calm, purges, changes of rows), and what each of them costs each role.
use crate::fleet::{controllers, node};
use crate::growth::{spread, Spread};
use crate::meter::*;
use crate::plan::*;
use crate::row::Row;
use crate::state::{controller_addr, lane, node_addr, role, row, service};
use crate::world::*;
use control_state::*;
use primitives::{Span, Version};
use std::ops::Range;

/// All nodes of one role start within this.
const START: Span = Span::secs(1);
/// Then they are given this long to receive the whole state.
const SETTLE: Span = Span::ms(500);
/// How long the controllers run before the first node starts.
const CONTROLLERS_SETTLE: Span = Span::ms(1500);
const LEASES_WITHIN: Span = Span::secs(20);
/// How long the last changes of a phase may take after its end.
const LAST_CHANGES: Span = Span::secs(5);
const FIRST_CEILING: u32 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: f64 = 1000.0;

/// Bytes of memory that one process of each role holds.
#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    controller: f64,
    ledger: f64,
    edge: f64,
}

struct Run<'a> {
    world: World,
    memory: Memory,
    rows: Vec<Row>,
    tell: &'a mut dyn FnMut(&Row),
    /// The version that each row of the table has once all changes are applied.
    versions: Vec<u64>,
    /// Draws what is changed and when. Delays are drawn elsewhere, in the order of messages,
    /// which depends on how many edges are thin; the changes of one seed must not.
    load: fastrand::Rng,
}

/// Starts the fleet, waits until it stands, and goes through all phases. Returns one row for
/// each phase and role; `tell` is called with each row as soon as it is known.
pub fn run(plan: &Plan, tell: &mut dyn FnMut(&Row)) -> Result<Vec<Row>> {
    plan.check(Plan::limit())?;
    let versions = vec![1; plan.services()];
    let world = World::new(plan.clone())?;
    let load = fastrand::Rng::with_seed(primitives::hash(&("load", plan.seed)));
    let mut run = Run { world, memory: Memory::default(), rows: vec![], tell, versions, load };
    run.start_fleet()?;
    run.phase("calm", |_, _| ());
    run.phase("purges", |run, secs| run.spread_out(plan.purges * secs, secs, Run::purge));
    run.phase("changes", |run, secs| run.spread_out(plan.changes * secs, secs, Run::edit));
    Ok(run.rows)
}

fn milliseconds(span: Span) -> f64 {
    span.0 as f64 / 1000.0
}

impl Run<'_> {
    /// Starts role by role, so that the memory of each can be told apart.
    fn start_fleet(&mut self) -> Result<()> {
        let plan = self.world.plan.clone();
        let (ledgers, whole) = (plan.ledgers(), plan.whole_edges());
        let before = resident();
        for (i, controller) in controllers(&plan, self.world.now).into_iter().enumerate() {
            self.world.add(controller_addr(i), Role::Controller, i, controller);
        }
        self.world.start_beats();
        self.world.run(CONTROLLERS_SETTLE);
        let with_controllers = resident();
        self.start_nodes(0..ledgers, true);
        let with_ledgers = resident();
        self.start_nodes(ledgers..ledgers + whole, true);
        let with_edges = resident();
        self.start_nodes(ledgers + whole..plan.nodes, false);
        let each = |before: u64, after: u64, count: usize| after.saturating_sub(before) as f64 / count as f64;
        self.memory = Memory {
            controller: each(before, with_controllers, CONTROLLERS),
            ledger: each(with_controllers, with_ledgers, ledgers),
            edge: each(with_ledgers, with_edges, whole),
        };
        let leased = |world: &World| world.processes.iter().all(|process| process.part.leased(world.now));
        if !self.world.run_until(LEASES_WITHIN, leased) {
            return NeverSnafu { nodes: plan.nodes, what: "some had no lease after twenty seconds" }.fail();
        }
        Ok(())
    }

    /// Starts some of the nodes, then waits until they hold the whole state.
    ///
    /// Edges take one second between them, however many of them are thin: ledgers exchange
    /// digests in a cycle of two seconds from their start, and a phase that began at another
    /// point of that cycle would count another number of exchanges.
    fn start_nodes(&mut self, nodes: Range<usize>, whole: bool) {
        let plan = self.world.plan.clone();
        let of_role = if nodes.start < plan.ledgers() { plan.ledgers() } else { plan.edges() };
        let gap = Span(START.0 / of_role as u64);
        for i in nodes {
            let started = node(&plan, i, whole, self.world.now);
            self.world.add(node_addr(i), role(&plan, i), i, started);
            self.world.run(gap);
        }
        self.world.run(SETTLE);
    }

    fn phase(&mut self, name: &'static str, load: impl FnOnce(&mut Self, u64)) {
        let secs = self.world.plan.secs;
        // Changes of an earlier phase may still be under way; they are not watched any more.
        self.world.watch.clear();
        let first = self.world.changes.len();
        self.world.processes.iter_mut().for_each(|process| process.tally = Tally::default());
        load(self, secs);
        self.world.run(Span::secs(secs));
        let tallies: Vec<Tally> = self.world.processes.iter().map(|process| process.tally).collect();
        // What was asked last may still be under way; what it costs is not counted.
        let done =
            |change: &WatchedChange| change.lacking == 0 && (change.in_force.is_some() || change.refused);
        self.world.run_until(LAST_CHANGES, |world| world.changes[first..].iter().all(done));
        for role in [Role::Controller, Role::Ledger, Role::Edge] {
            let row = self.row(name, role, &tallies, first);
            (self.tell)(&row);
            self.rows.push(row);
        }
    }

    /// What a phase cost a role; `first` is the first change of the phase.
    fn row(&self, phase: &'static str, role: Role, tallies: &[Tally], first: usize) -> Row {
        let (plan, secs) = (&self.world.plan, self.world.plan.secs);
        let processes = self.world.processes.iter().zip(tallies);
        let of_role: Vec<_> = processes.filter(|(process, _)| process.role == role).collect();
        let process_seconds = of_role.len().max(1) as f64 * secs as f64;
        let sum = |f: fn(&Tally) -> u64| of_role.iter().map(|(_, tally)| f(tally)).sum::<u64>() as f64;
        let each = |f: fn(&Tally) -> u64| sum(f) / process_seconds;
        let real = of_role.iter().filter(|(process, _)| !process.part.is_thin());
        let cpu = real.map(|(_, tally)| tally.cpu as f64 / NANOS_PER_MICRO / secs as f64);
        let cpu: Vec<f64> = cpu.collect();
        let row = Row {
            phase: phase.into(),
            role: format!("{role:?}").to_lowercase(),
            seed: plan.seed,
            secs,
            nodes: plan.nodes,
            whole: cpu.len(),
            origins: plan.origins(),
            services: plan.services(),
            msgs_in: each(|tally| tally.msgs_in),
            msgs_out: each(|tally| tally.msgs_out),
            bytes_in: each(|tally| tally.bytes_in),
            bytes_out: each(|tally| tally.bytes_out),
            cpu_us: cpu.iter().sum::<f64>() / cpu.len().max(1) as f64,
            cpu_us_most: cpu.iter().copied().fold(0.0, f64::max),
            memory: self.memory_of(role),
            ..Row::default()
        };
        self.with_changes(row, first)
    }

    fn memory_of(&self, role: Role) -> f64 {
        match role {
            Role::Controller => self.memory.controller,
            Role::Ledger => self.memory.ledger,
            Role::Edge => self.memory.edge,
        }
    }

    /// Adds what became of the changes of a phase.
    fn with_changes(&self, row: Row, first: usize) -> Row {
        let changes = &self.world.changes[first..];
        let everywhere = changes.iter().filter(|change| change.lacking == 0);
        let last = everywhere.map(|change| milliseconds(change.last - change.asked));
        let in_force = changes.iter().filter_map(|change| Some(change.in_force? - change.asked));
        let last: Spread = spread(&last.collect::<Vec<_>>()).unwrap_or_default();
        let force: Spread = spread(&in_force.map(milliseconds).collect::<Vec<_>>()).unwrap_or_default();
        Row {
            asked: changes.len(),
            missing: changes.iter().filter(|change| change.lacking > 0).count(),
            refused: changes.iter().filter(|change| change.refused).count(),
            last_ms: last.1,
            last_ms_most: last.2,
            force_ms: force.1,
            force_ms_most: force.2,
            ..row
        }
    }

    /// Makes `count` changes in so many seconds, each at a random time within its own part of
    /// them, so that they keep no step with the nodes' intervals.
    fn spread_out(&mut self, count: u64, secs: u64, make: fn(&mut Self, u64, Span)) {
        let part = secs * MICROS_PER_SECOND / count.max(1);
        for i in 0..count {
            let at = i * part + self.load.u64(0..part);
            make(self, i, Span(at));
        }
    }

    fn purge(&mut self, i: u64, after: Span) {
        let service = service(self.load.usize(0..self.world.plan.services()));
        let scope = format!("objects/{:02}/{:012x}", i % 100, self.load.u64(0..1 << 48));
        let watch = fingerprint(&Key::Purge(service.clone(), scope.clone()), 0);
        let op = Op::Purge(vec![(service, scope)]);
        self.world.change(after, i as usize % CONTROLLERS, op, watch);
    }

    /// Changes rows in turn, each at the version that it will have by then.
    fn edit(&mut self, i: u64, after: Span) {
        let number = i as usize % self.versions.len();
        let (lane, svc, version) = (lane(number), service(number), self.versions[number]);
        self.versions[number] += 1;
        let watch = fingerprint(&Key::Row(lane.clone(), svc.clone()), version + 1);
        let row = Some(row(FIRST_CEILING + i as u32));
        let op = Op::Row { lane, svc, expect: Version(version), row };
        self.world.change(after, i as usize % CONTROLLERS, op, watch);
    }
}
