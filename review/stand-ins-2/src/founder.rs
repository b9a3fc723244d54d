//! The first start, where the first of the common seeds has no disk. Its process is killed once, in the first
//! second, and started again half a second later. No disk is lost.
use crate::fleet::Fleet;
use crate::origin::{read_object, Origin, Plan};
use crate::web::{configuration, modify, Call, Route};
use crate::{Stage, Verdict};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const HOST: &str = "docs.example";
/// One machine of ten: the site kills a share of 0.16 of its machines, for 3.5 s.
const MACHINES: usize = 10;
const UP: Duration = Duration::from_millis(600);
const DOWN: Duration = Duration::from_millis(500);
/// Four times the bound of 15 s for service to be back.
const PATIENCE: Duration = Duration::from_secs(60);

pub fn play(stage: &Stage) -> Verdict {
    let (words, record) = (&stage.words, &stage.record);
    let mut fleet = Fleet::new(&stage.root, words, MACHINES, 1..5);
    let route = Route {
        name: "terms".into(),
        host: HOST,
        prefix: "/terms/".into(),
        kind: None,
        limit_ms: 1000,
        service: "docstore".into(),
    };
    let first_call = configuration(words, &[route], 7);
    (0..MACHINES).for_each(|i| fleet.start(words, i));
    record.note("all machines are started, with empty disks; machine 0, the first seed, has none");
    if stage.trouble {
        sleep(UP);
        fleet.kill(0);
        record.note("machine 0 is killed");
        sleep(DOWN);
        fleet.write_settings(words, 0, false);
        fleet.start(words, 0);
        record.note("machine 0 is started again");
    }
    let plan: Arc<Plan> = Arc::new(|request, _| read_object(request, 5000, Duration::from_millis(60)));
    for i in 0..4 {
        let origin =
            Origin { id: format!("i-doc{i}"), service: "docstore", zone: fleet.zone(i / 2), capacity: 32 };
        origin.start(words, &fleet.controls(), record, plan.clone());
    }
    let (end, mut acknowledged, mut round) = (Instant::now() + PATIENCE, false, 0);
    while Instant::now() < end {
        let at = round % MACHINES;
        round += 1;
        if !acknowledged {
            let said = modify(words, fleet.control(at), &first_call);
            record.note(format!("the operator's first call to machine {at} gets {said:?}"));
            acknowledged = said == Some(200);
        }
        let (id, path) = (format!("read-{round}"), format!("/terms/{round}"));
        let call = Call {
            method: "GET",
            host: HOST,
            path: &path,
            id: &id,
            key: None,
            time_left_ms: 1000,
            more: vec![],
            body: b"",
        };
        let status = call.send(words, fleet.front(at)).map_or(0, |a| a.status());
        let ready = (0..MACHINES).filter(|i| fleet.is_ready(words, *i)).count();
        record.note(format!("reader gets {id} from machine {at}: {status}; {ready} machines are ready"));
        if status == 200 {
            return Verdict::Held;
        }
        sleep(Duration::from_secs(1));
    }
    record.note("no request was served");
    Verdict::Broken
}
