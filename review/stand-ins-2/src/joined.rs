//! A reader with a cookie asks for the rest of a document. The origin's answer is lost, and the machine asks
//! another origin. Meanwhile another reader asks the same machine for the whole document.
use crate::fleet::Fleet;
use crate::origin::{content, read_object, Deed, Origin, Plan};
use crate::web::{configuration, Call, Route};
use crate::{Stage, Verdict};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{scope, sleep};
use std::time::Duration;

const SIZE: usize = 20_000;
const HOST: &str = "docs.example";
/// Reads before the disruption: one answer lost of more than forty is inside its share of 0.05.
const EARLIER_READS: usize = 40;
/// The work of the site's origins is 60 ms on average and 360 ms at most.
const WORK: Duration = Duration::from_millis(60);
const LONG_WORK: Duration = Duration::from_millis(300);
const DOCUMENT: &str = "/terms/plan-2027";

pub fn play(stage: &Stage) -> Verdict {
    let (words, record) = (&stage.words, &stage.record);
    let mut fleet = Fleet::new(&stage.root, words, 6, 0..4);
    let route = Route {
        name: "terms".into(),
        host: HOST,
        prefix: "/terms/".into(),
        kind: None,
        limit_ms: 1000,
        service: "docstore".into(),
    };
    if !fleet.form(words, &configuration(words, &[route], 7), record) {
        return Verdict::NotRun;
    }
    let to_lose = Arc::new(AtomicBool::new(stage.trouble));
    let plan: Arc<Plan> = Arc::new(move |request, _| match request.first.contains(DOCUMENT) {
        false => read_object(request, SIZE, WORK),
        true if to_lose.swap(false, SeqCst) => Deed::Lose { work: LONG_WORK },
        true => read_object(request, SIZE, LONG_WORK),
    });
    for i in 0..4 {
        let (id, zone) = (format!("i-doc{i}"), fleet.zone(i / 2));
        let origin = Origin { id, service: "docstore", zone, capacity: 32 };
        origin.start(words, &fleet.controls(), record, plan.clone());
    }
    let front = fleet.front(5);
    let read = |path: &str, id: &str, more: Vec<(&'static str, String)>| {
        let call =
            Call { method: "GET", host: HOST, path, id, key: None, time_left_ms: 1000, more, body: b"" };
        record.note(format!("reader sends {id}: GET {path}, {:?}", call.more));
        let answer = call.send(words, front);
        let (status, bytes) = answer.as_ref().map_or((0, 0), |a| (a.status(), a.body.len()));
        record.note(format!("reader gets {id}: {status}, {bytes} bytes"));
        answer
    };
    let cookie = || ("Cookie", "session=giulia".to_string());
    let mut served = 0;
    for n in 0..EARLIER_READS * 3 {
        let path = format!("/terms/page-{n}");
        let answer = read(&path, &format!("early-{n}"), vec![cookie()]);
        served += answer.is_some_and(|a| a.status() == 200) as usize;
        if served == EARLIER_READS {
            break;
        }
        sleep(Duration::from_millis(if served == 0 { 200 } else { 5 }));
    }
    if served < EARLIER_READS {
        return Verdict::NotRun;
    }
    let whole = content(DOCUMENT, SIZE);
    let answer = scope(|s| {
        let rest = ("Range", "bytes=15000-".to_string());
        let first = s.spawn(|| read(DOCUMENT, "rest-of-document", vec![cookie(), rest]));
        // Past the lost answer, while the second origin works.
        sleep(LONG_WORK + Duration::from_millis(150));
        let second = read(DOCUMENT, "whole-document", vec![]);
        let _ = first.join();
        second
    });
    let Some(answer) = answer else { return Verdict::NotRun };
    let success = (200..300).contains(&answer.status());
    record.note(format!("the reader of the whole document gets {} of {SIZE} bytes", answer.body.len()));
    if success && (answer.body != whole || answer.field(words.seal()).is_none()) {
        return Verdict::Broken;
    }
    Verdict::Held
}
