//! The failures of the specification: each picks what it hits, and when it begins and ends.
use control_state::*;
use primitives::{Addr, NodeId, Span};
use simulator::{machine as on_machine, *};

/// Failures that may happen only once per run; more would exceed the tolerated losses.
#[derive(Default)]
pub struct MishapLimits {
    /// A controller that was removed for good.
    pub retired: Option<Addr>,
    /// The controller that takes its place.
    pub newcomer: Option<Addr>,
    /// Whether a disk was lost.
    disk: bool,
    /// Whether a ledger was removed.
    ledger: bool,
}

/// Names of all failures.
pub const SORTS: [&str; 23] = [
    "a process killed",
    "a process frozen",
    "a machine isolated",
    "one-way loss",
    "a disk stalled",
    "a machine killed",
    "all processes killed",
    "regions parted",
    "core cut off",
    "a disk machine lost, then another process",
    "a disk full",
    "a ledger joins",
    "a ledger removed",
    "a controller replaced",
    "a flood of purges",
    "a process told to stop",
    "abusive clients",
    "an origin dies",
    "an origin leaves",
    "answers lost",
    "an origin slow",
    "wrong and cut bytes",
    "an address passes on",
];

/// Schedules a failure `at` ms from now, and returns its name. A failure that `limits` excludes
/// is replaced by wrong and truncated answers.
pub fn mishap(
    w: &mut World,
    f: &Fleet,
    limits: &mut MishapLimits,
    at: u64,
    sort: &'static str,
) -> &'static str {
    let back = Span::ms(at + w.rng.u64(300..5000));
    let at = Span::ms(at);
    let procs: Vec<Addr> = w.procs.keys().copied().collect();
    let who = procs[w.rng.usize(0..procs.len())];
    let (i, machine) = (w.rng.usize(0..4), w.rng.u8(1..5));
    let controller = f.controllers[i];
    let origin = if w.rng.bool() { f.pages[i % 3] } else { f.desks[i] };
    let (svc, zone) = (w.origins[&origin].svc.0.clone(), w.origins[&origin].zone.0.clone());
    let tamper =
        move |w: &mut World, f: fn(&mut StandInOrigin)| w.origins.get_mut(&origin).into_iter().for_each(f);
    match sort {
        "a process killed" => {
            w.later(at, move |w| w.kill(who));
            w.later(back, move |w| w.start(who));
        }
        "a process frozen" => {
            w.later(at, move |w| w.freeze(who));
            w.later(back, move |w| w.thaw(who));
        }
        "a machine isolated" => {
            w.later(at, move |w| w.isolate(&on_machine(machine)));
            w.later(back, |w| w.heal());
        }
        "one-way loss" => {
            w.later(at, move |w| {
                procs.iter().filter(|p| **p != who).for_each(|p| {
                    w.cuts.insert((who, *p));
                })
            });
            w.later(back, |w| w.heal());
        }
        "a disk stalled" => {
            let two = [controller, addr(machine, 3)];
            w.later(at, move |w| {
                two.iter().for_each(|a| w.procs.get_mut(a).into_iter().for_each(|p| p.stalled = true))
            });
            w.later(back, move |w| two.iter().for_each(|a| w.unstall(*a)));
        }
        "a machine killed" => {
            w.later(at, move |w| on_machine(machine).iter().for_each(|a| w.kill(*a)));
            w.later(back, move |w| on_machine(machine).iter().for_each(|a| w.start(*a)));
        }
        "all processes killed" => {
            let again = procs.clone();
            w.later(at, move |w| procs.iter().for_each(|a| w.kill(*a)));
            w.later(at + Span::ms(800), move |w| again.iter().for_each(|a| w.start(*a)));
        }
        "regions parted" => {
            let west = w.procs.iter().filter(|(_, p)| {
                ["barat/a", "barat/b", "sicilia/a", "sicilia/b"].contains(&p.zone.0.as_str())
            });
            let west: Vec<Addr> = west.map(|(a, _)| *a).collect();
            w.later(at, move |w| w.isolate(&west));
            w.later(back + Span::secs(2), |w| w.heal());
        }
        "core cut off" => {
            let core = f.controllers.clone();
            w.later(at, move |w| w.isolate(&core));
            w.later(back + Span::secs(6), |w| w.heal());
        }
        "a disk machine lost, then another process" if !limits.disk => {
            limits.disk = true;
            let other = f.edges[w.rng.usize(0..f.edges.len())];
            w.later(at, move |w| {
                on_machine(machine).iter().for_each(|a| {
                    w.kill(*a);
                    w.wipe(*a);
                })
            });
            w.later(at + Span::ms(200), move |w| w.kill(other));
            w.later(back, move |w| {
                on_machine(machine).iter().for_each(|a| w.start(*a));
                w.start(other);
            });
        }
        "a disk full" => {
            // The process ends (exit status 74), and restarts once there is disk space.
            let full = if w.rng.bool() { controller } else { addr(machine, 3) };
            w.later(at, move |w| w.kill(full));
            w.later(back, move |w| w.start(full));
        }
        "a ledger joins" => {
            let id = w.rng.u16(300..400);
            let (a, zone, seeds) = (addr(20 + (id - 300) as u8, 3), w.plan.zones[i], f.controllers.clone());
            w.later(at, move |w| {
                w.add_ledger(id, a, zone, &seeds);
                w.start(a);
            });
        }
        "a ledger removed" if !limits.ledger => {
            limits.ledger = true;
            let (c, op) = (f.ledgers[i], Op::RemoveNode(NodeId(200 + i as u64)));
            w.later(at, move |w| {
                w.kill(c);
                w.ask(controller, Want::Change(Change { id: Some("ledger-gone".into()), op }));
            });
        }
        "a controller replaced" if limits.retired.is_none() && !limits.disk => {
            limits.disk = true;
            let (old, new) = (f.controllers[3], addr(9, 1));
            (limits.retired, limits.newcomer) = (Some(old), Some(new));
            let (seeds, zone) = (f.controllers[..3].to_vec(), w.plan.zones[3]);
            w.later(at, move |w| {
                w.kill(old);
                w.add_controller(new, zone, seeds, false);
                w.start(new);
            });
            // Operators retry until it is done; the old controller is never started again.
            for n in 1..60 {
                let k = f.controllers[n as usize % 3];
                w.later(at + Span::secs(n), move |w| {
                    w.kill(old);
                    if w.controller(new).is_some_and(|k| k.member_id().is_none()) {
                        let t = w.ask(k, Want::Ready);
                        w.at(Span(0), Event::Ask(k, t, Ask::Replace { old, new }));
                    }
                });
            }
        }
        "a flood of purges" => {
            for n in 0..100u64 {
                let k = f.controllers[n as usize % 4];
                w.later(at + Span::ms(n), move |w| {
                    w.purge(k, &format!("fl{}-{n}", w.now.0), "pages", &format!("o{}", n % 20));
                });
            }
        }
        "a process told to stop" => {
            w.later(at, move |w| w.stop(who));
            w.later(back + Span::secs(8), move |w| w.start(who));
        }
        "abusive clients" => {
            for n in 0..600u64 {
                let g = f.edges[n as usize % f.edges.len()];
                w.later(at + Span::ms(n), move |w| {
                    w.get(g, "ask", &format!("again{}", n % 7));
                });
            }
        }
        "an origin dies" => {
            w.later(at, move |w| w.crash_origin(origin));
            w.later(back, move |w| w.add_origin(origin, &svc, &zone));
        }
        "an origin leaves" => {
            w.later(at, move |w| w.announce_leaving(origin, Mood::Leaving));
            w.later(back, move |w| w.add_origin(origin, &svc, &zone));
        }
        "answers lost" => {
            w.later(at, move |w| tamper(w, |b| b.lose = 0.3));
            w.later(back, move |w| tamper(w, |b| b.lose = 0.0));
        }
        "an origin slow" => {
            w.later(at, move |w| tamper(w, |b| b.work = Span::ms(900)));
            w.later(back, move |w| tamper(w, |b| b.work = Span::ms(8)));
        }
        "an address passes on" => {
            let other = if svc == "desk" { "pages" } else { "desk" };
            w.later(at, move |w| {
                w.signed_off.remove(&origin);
                w.announce_leaving(origin, Mood::Gone);
            });
            // Hands the address on once the deregistration is acknowledged; checked every 100 ms.
            for n in 1..20 {
                let (other, zone) = (other.to_string(), zone.clone());
                w.later(at + Span::ms(100 * n), move |w| {
                    if w.signed_off.remove(&origin) {
                        w.crash_origin(origin);
                        w.add_origin(origin, &other, &zone);
                    }
                });
            }
        }
        _ => {
            w.later(at, move |w| {
                tamper(w, |b| b.cut = 0.3);
                tamper(w, |b| b.wrong = 0.3);
            });
            w.later(back, move |w| {
                tamper(w, |b| b.cut = 0.0);
                tamper(w, |b| b.wrong = 0.0);
            });
            return "wrong and cut bytes";
        }
    }
    sort
}
