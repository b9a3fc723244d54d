//! A route that names an unknown service is refused while a core machine stands still. Then another operator
//! adds the service. The refused route must not come into force.
use crate::fleet::Fleet;
use crate::web::{configuration, modify, retrieve, set_route, set_service, Route};
use crate::{Stage, Verdict};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const HOST: &str = "docs.example";
const ROUNDS: usize = 6;
/// One machine of ten: the site freezes a share of 0.11 of its machines.
const MACHINES: usize = 10;
/// The site's machines freeze for 3.5 s at most.
const FREEZE: Duration = Duration::from_millis(600);
/// Twice the bound in which a change has to be in force, and the bound for machines that were in trouble.
const PAUSE: Duration = Duration::from_secs(6);
/// A core machine, and a machine of its zone that takes the operator's call.
const FROZEN: usize = 0;
const ASKED: usize = 4;
const OTHER: usize = 1;

pub fn play(stage: &Stage) -> Verdict {
    let (words, record) = (&stage.words, &stage.record);
    let mut fleet = Fleet::new(&stage.root, words, MACHINES, 0..4);
    let route = |name: &str, service: &str| Route {
        name: name.into(),
        host: HOST,
        prefix: format!("/{name}/"),
        kind: None,
        limit_ms: 1000,
        service: service.into(),
    };
    if !fleet.form(words, &configuration(words, &[route("terms", "docstore")], 7), record) {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(4));
    let (mut refused, mut in_force) = (0, 0);
    for round in 1..=ROUNDS {
        let (name, service) = (format!("route-{round}"), format!("service-{round}"));
        let version = 7 + round as u64;
        let call = set_route(words, &route(&name, &service), version);
        let start = Instant::now();
        if stage.trouble {
            record.note(format!("machine {FROZEN} freezes"));
            fleet.signal(FROZEN, "STOP");
        }
        let said = scope(|s| {
            s.spawn(|| {
                sleep(FREEZE.saturating_sub(start.elapsed()));
                if stage.trouble {
                    fleet.signal(FROZEN, "CONT");
                    record.note(format!("machine {FROZEN} wakes"));
                }
            });
            record.note(format!("one operator sends {name} with the unknown {service} to machine {ASKED}"));
            let said = modify(words, fleet.control(ASKED), &call);
            record.note(format!("that operator gets {said:?}"));
            if said == Some(400) {
                record.note(format!("another operator sends {service} to machine {OTHER}"));
                let added = modify(words, fleet.control(OTHER), &set_service(words, &service, version));
                record.note(format!("the other operator gets {added:?}"));
            }
            said
        });
        sleep(PAUSE);
        if said != Some(400) {
            continue;
        }
        refused += 1;
        let Some(text) = retrieve(words, fleet.control(OTHER)) else { continue };
        let stands = text.contains(&format!("\"{name}\""));
        record.note(format!("read back: the refused {name} is {}in force", if stands { "" } else { "not " }));
        in_force += stands as usize;
    }
    record.note(format!("{refused} of {ROUNDS} routes were refused, {in_force} of these are in force"));
    match (refused, in_force) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
