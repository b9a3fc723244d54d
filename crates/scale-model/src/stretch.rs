//! The stretches of a run, and what each of them cost each role.
use crate::fleet::*;
use crate::meter::*;
use crate::plan::*;
use crate::row::Row;
use crate::slope::spread;
use crate::world::*;
use control_state::*;
use primitives::{Span, Version};

/// All nodes of one role start within this.
const START: Span = Span::secs(1);
/// Then they are given this long to receive the whole state.
const SETTLE: Span = Span::ms(500);

/// Memory that each process of a role holds, in bytes, and how many run whole.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    controller: f64,
    ledger: f64,
    edge: f64,
}

struct Run<'a> {
    w: World,
    held: Held,
    rows: Vec<Row>,
    tell: &'a mut dyn FnMut(&Row),
    versions: Vec<u64>,
}

/// Starts the fleet, lets it stand, and goes through all stretches; `tell` hears each row
/// as it is known.
pub fn run(plan: &Plan, tell: &mut dyn FnMut(&Row)) -> Result<Vec<Row>> {
    plan.check(Plan::limit())?;
    let versions = vec![1; plan.services()];
    let w = World::new(plan.clone())?;
    let mut r = Run { w, held: Held::default(), rows: vec![], tell, versions };
    r.stand()?;
    r.stretch("calm", |_, _| ());
    let (purges, changes) = (plan.purges, plan.changes);
    r.stretch("purges", |r, secs| r.ask(purges * secs, secs, Run::purge));
    r.stretch("changes", |r, secs| r.ask(changes * secs, secs, Run::edit));
    Ok(r.rows)
}

impl Run<'_> {
    /// Starts role by role, so that the memory of each shows by itself.
    fn stand(&mut self) -> Result<()> {
        let p = self.w.plan.clone();
        let (ledgers, whole) = (p.ledgers(), p.whole_edges());
        let began = resident();
        for (i, k) in controllers(&p, self.w.now).into_iter().enumerate() {
            self.w.add(controller_addr(i), Role::Controller, i, k);
        }
        self.w.start_beats();
        self.w.run(Span::ms(1500));
        let with_controllers = resident();
        self.start(0..ledgers, true);
        let with_ledgers = resident();
        self.start(ledgers..ledgers + whole, true);
        let with_edges = resident();
        self.start(ledgers + whole..p.nodes, false);
        let each = |a: u64, b: u64, n: usize| b.saturating_sub(a) as f64 / n as f64;
        self.held = Held {
            controller: each(began, with_controllers, CONTROLLERS),
            ledger: each(with_controllers, with_ledgers, ledgers),
            edge: each(with_ledgers, with_edges, whole),
        };
        let leased = |w: &World| w.procs.iter().all(|p| p.body.leased(w.now));
        if !self.w.until(Span::secs(20), leased) {
            return NeverSnafu { nodes: p.nodes, what: "some had no lease after twenty seconds" }.fail();
        }
        Ok(())
    }

    /// Starts some of the nodes, then waits half a second so that they hold the whole state.
    ///
    /// Edges take one second between them, however many of them are thin: ledgers exchange
    /// digests in a cycle of two seconds from their start, and a stretch that began at
    /// another point of that cycle would count another number of exchanges.
    fn start(&mut self, nodes: std::ops::Range<usize>, whole: bool) {
        let plan = self.w.plan.clone();
        let of_role = if nodes.start < plan.ledgers() { plan.ledgers() } else { plan.edges() };
        let gap = Span(START.0 / of_role as u64);
        for i in nodes {
            let started = node(&plan, i, whole, self.w.now);
            self.w.add(node_addr(i), role(&plan, i), i, started);
            self.w.run(gap);
        }
        self.w.run(SETTLE);
    }

    fn stretch(&mut self, name: &'static str, f: impl FnOnce(&mut Self, u64)) {
        let secs = self.w.plan.secs;
        // What an earlier stretch asked may still be on its way; its marks stay.
        self.w.watch.clear();
        let first = self.w.marks.len();
        self.w.procs.iter_mut().for_each(|p| p.tally = Tally::default());
        f(self, secs);
        self.w.run(Span::secs(secs));
        let tallies: Vec<Tally> = self.w.procs.iter().map(|p| p.tally).collect();
        // What was asked last may still be on its way; it costs nothing here.
        let through = |m: &Mark| m.left == 0 && (m.in_force.is_some() || m.refused);
        self.w.until(Span::secs(5), |w| w.marks[first..].iter().all(through));
        for role in [Role::Controller, Role::Ledger, Role::Edge] {
            let row = self.row(name, secs, role, &tallies, first);
            (self.tell)(&row);
            self.rows.push(row);
        }
    }

    fn row(&self, stretch: &'static str, secs: u64, role: Role, tallies: &[Tally], first: usize) -> Row {
        let (w, p, marks) = (&self.w, &self.w.plan, &self.w.marks[first..]);
        let of = |whole: bool| {
            let mine = w.procs.iter().zip(tallies).filter(move |(x, _)| x.role == role);
            mine.filter(move |(x, _)| !whole || !matches!(x.body, Body3::Thin(_))).map(|(_, t)| *t)
        };
        let n = of(false).count().max(1) as f64 * secs as f64;
        let sum = |f: fn(&Tally) -> u64| of(false).map(|t| f(&t)).sum::<u64>() as f64 / n;
        let cpus: Vec<f64> = of(true).map(|t| t.cpu as f64 / 1000.0 / secs as f64).collect();
        let cpu = cpus.iter().sum::<f64>() / cpus.len().max(1) as f64;
        let ms = |s: Span| s.0 as f64 / 1000.0;
        let last: Vec<f64> = marks.iter().filter(|m| m.left == 0).map(|m| ms(m.last - m.asked)).collect();
        let force: Vec<f64> = marks.iter().filter_map(|m| m.in_force.map(|t| ms(t - m.asked))).collect();
        let held = match role {
            Role::Controller => self.held.controller,
            Role::Ledger => self.held.ledger,
            Role::Edge => self.held.edge,
        };
        Row {
            stretch: stretch.into(),
            role: format!("{role:?}").to_lowercase(),
            seed: p.seed,
            secs,
            nodes: p.nodes,
            whole: cpus.len(),
            origins: p.origins(),
            services: p.services(),
            msgs_in: sum(|t| t.msgs_in),
            msgs_out: sum(|t| t.msgs_out),
            bytes_in: sum(|t| t.bytes_in),
            bytes_out: sum(|t| t.bytes_out),
            cpu_us: cpu,
            cpu_us_most: cpus.iter().copied().fold(0.0, f64::max),
            memory: held,
            asked: marks.len(),
            missing: marks.iter().filter(|m| m.left > 0).count(),
            refused: marks.iter().filter(|m| m.refused).count(),
            last_ms: spread(&last).map_or(0.0, |s| s.1),
            last_ms_most: spread(&last).map_or(0.0, |s| s.2),
            force_ms: spread(&force).map_or(0.0, |s| s.1),
            force_ms_most: spread(&force).map_or(0.0, |s| s.2),
        }
    }

    /// So many of them, each somewhere in its own part of so many seconds, so that they
    /// keep no step with the askings; through all controllers in turn.
    fn ask(&mut self, n: u64, secs: u64, one: fn(&mut Self, u64, Span)) {
        let part = secs * 1_000_000 / n.max(1);
        for i in 0..n {
            let at = i * part + self.w.rng.u64(0..part);
            one(self, i, Span(at));
        }
    }

    fn purge(&mut self, i: u64, after: Span) {
        let s = svc(self.w.rng.usize(0..self.w.plan.services()));
        let scope = format!("objects/{:02}/{:012x}", i % 100, self.w.rng.u64(0..1 << 48));
        let watch = sign(&Key::Purge(s.clone(), scope.clone()), 0);
        self.w.change(after, i as usize % CONTROLLERS, Op::Purge(vec![(s, scope)]), watch);
    }

    /// Rows in turn, each by the version that it has by then.
    fn edit(&mut self, i: u64, after: Span) {
        let at = i as usize % self.versions.len();
        let (l, s, was) = (lane(at), svc(at), self.versions[at]);
        self.versions[at] += 1;
        let watch = sign(&Key::Row(l.clone(), s.clone()), was + 1);
        let row = Some(row(1_000_000 + i as u32));
        let op = Op::Row { lane: l, svc: s, expect: Version(was), row };
        self.w.change(after, i as usize % CONTROLLERS, op, watch);
    }
}
