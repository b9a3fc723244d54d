//! A cached route is taken away and added again, under its name, for another host. Without the
//! disruption the route for the other host has another name.
use crate::operator::{call, modify};
use crate::record::Record;
use crate::scene::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const PAGES: usize = 5;

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut s = Scene::new(6, 4, 64, record);
    let routes = [route("r-doc", "a.example", "/doc/", "cache", "docstore", 1)];
    if !s.begin(&routes, &["docstore", "loan-app"]) || !s.warm(4, "a.example", "/doc/warm") {
        return NOT_RUN;
    }
    for n in 0..PAGES {
        let good = |i: usize| s.client(i, "GET", "a.example", &format!("/doc/{n}"), None, vec![]).1;
        if !(0..6).all(|i| good(i).is_some_and(|a| a.status == 200)) {
            return NOT_RUN;
        }
    }
    let gone = call(&[], &[], 3, &[("r-doc", 3)]);
    let name = if trouble { "r-doc" } else { "r-doc-b" };
    let again = call(&[route(name, "b.example", "/doc/", "cache", "docstore", 5)], &[], 5, &[]);
    for body in [gone, again] {
        if !modify(&s.controls(), &body, Duration::from_secs(10), record) {
            return NOT_RUN;
        }
        // More than `config-apply-ms`, and inside the time that copies may be held.
        thread::sleep(Duration::from_secs(3));
    }
    let (mut foreign, mut own) = (0, 0);
    for (n, i) in (0..PAGES).flat_map(|n| (0..6).map(move |i| (n, i))) {
        let path = format!("/doc/{n}");
        let answer = s.client(i, "GET", "b.example", &path, None, vec![]).1;
        let text = answer.filter(|a| a.status == 200).map(|a| a.text()).unwrap_or_default();
        own += text.ends_with(&format!("of host b.example path {path}")) as usize;
        foreign += text.ends_with(&format!("of host a.example path {path}")) as usize;
    }
    record.note(format!("{own} answers were the page of b.example, {foreign} were the page of a.example"));
    match (foreign, own) {
        (0, 0) => NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    }
}
