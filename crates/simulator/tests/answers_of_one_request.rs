//! Stories of two callers of one object: the answer that was made for one request alone never
//! reaches the other caller.
mod common;
#[path = "common/open.rs"]
mod open;
use common::{clean, number};
use control_state::*;
use open::*;
use primitives::{Span, Token};
use simulator::*;
use std::sync::Arc;

/// How a request differs from a plain reading of the whole object.
#[derive(Copy, Clone, Debug)]
struct Variation {
    method: &'static str,
    cookie: &'static str,
    field: Option<(&'static str, &'static str)>,
    body: &'static str,
}

const FIELDS: [Option<(&str, &str)>; 6] = [
    None,
    None,
    Some(("range", "bytes=9-")),
    Some(("range", "bytes=9999-")),
    Some(("if-none-match", "\"1\"")),
    Some(("if-match", "\"other\"")),
];
const COOKIES: [&str; 4] = ["", "", "session=a", "session=b"];
/// The origins may mark their answers as meant for all callers, or for one.
const CACHE_CONTROL: [&str; 5] = ["", "", "public, max-age=5", "private", "no-store"];

impl Variation {
    fn any(w: &mut World) -> Variation {
        Variation {
            method: if w.rng.u8(0..4) == 0 { "HEAD" } else { "GET" },
            cookie: COOKIES[w.rng.usize(0..COOKIES.len())],
            field: FIELDS[w.rng.usize(0..FIELDS.len())],
            body: if w.rng.u8(0..8) == 0 { "a query" } else { "" },
        }
    }

    fn request(&self, path: &str) -> CallerRequest {
        let plain = CallerRequest { method: self.method.into(), ..hosted("GET", "read", path, None) };
        let mut heads = plain.heads.clone();
        if !self.cookie.is_empty() {
            heads.push("cookie", self.cookie);
        }
        if let Some((name, value)) = self.field {
            heads.push(name, value);
        }
        CallerRequest { heads, body: Arc::new(self.body.as_bytes().to_vec()), ..plain }
    }
}

/// What happens while the first caller's request is at work.
#[derive(Copy, Clone, Debug)]
enum Disruption {
    None,
    AnswerLost,
    ServerError,
    Purge,
    BecomesPrivate,
}
const DISRUPTIONS: [Disruption; 5] = [
    Disruption::None,
    Disruption::AnswerLost,
    Disruption::ServerError,
    Disruption::Purge,
    Disruption::BecomesPrivate,
];

fn each_page(w: &mut World, f: &Fleet, change: impl Fn(&mut StandInOrigin)) {
    f.pages.iter().for_each(|a| change(w.origins.get_mut(a).expect("an origin of the fleet")));
}

fn say(w: &mut World, f: &Fleet, cache_control: &str) {
    let heads = Headers::default();
    let heads = if cache_control.is_empty() { heads } else { heads.with("cache-control", cache_control) };
    each_page(w, f, |origin| origin.heads = heads.clone());
}

/// What is wrong with an answer to this request.
fn flaw(request: &CallerRequest, answer: &Whole) -> Option<String> {
    let own = answer.heads.get(MADE_FOR) == request.heads.get(TRY);
    let control = answer.heads.get("cache-control").unwrap_or_default();
    let (has, expects) = (|name| request.heads.has(name), request.heads.get("if-match").is_some());
    let of_body = answer.heads.get(OF_BODY).unwrap_or_default();
    if !own && (control == "private" || control == "no-store") {
        return Some(format!("an answer marked {control} for another caller"));
    }
    if of_body.as_bytes() != request.body.as_slice() {
        return Some(format!("an answer to a request with the body {of_body:?}"));
    }
    if expects && ![412, 500].contains(&answer.status) {
        return Some(format!("{} where the condition does not hold", answer.status));
    }
    let fits = match answer.status {
        200 if request.method == "GET" => {
            let digest_field = answer.heads.get("content-digest");
            digest_field == Some(digest(&answer.body).as_str())
        }
        200 | 500 => true,
        206 | 416 => own && has("range"),
        304 => own && has("if-none-match"),
        412 => own && has("if-match"),
        _ => false,
    };
    (!fits).then(|| format!("{} made for {:?}", answer.status, answer.heads.get(MADE_FOR)))
}

/// What the callers got.
#[derive(Debug, Default)]
struct Results {
    served: usize,
    flaws: Vec<String>,
}

impl Results {
    fn check(&mut self, w: &World, token: Token, what: &str) {
        let Some(exchange) = reply_to(w, token) else { panic!("no answer: {what}") };
        let Want::Request(request) = &exchange.want else { unreachable!("only requests are sent") };
        let NodeReply::Step(Step::Serve(answer, _, _)) = &exchange.receipt else { return };
        self.served += 1;
        let flaw = flaw(request, answer);
        self.flaws.extend(flaw.map(|flaw| format!("{flaw}: {what}; the request: {request:?}")));
    }
}

/// Plays one pair of requests for an object of its own.
fn play_pair(w: &mut World, f: &Fleet, path: &str, results: &mut Results) {
    let variations = [Variation::any(w), Variation::any(w)];
    let disruption = DISRUPTIONS[w.rng.usize(0..DISRUPTIONS.len())];
    let control = CACHE_CONTROL[w.rng.usize(0..CACHE_CONTROL.len())];
    let edges = [f.edges[w.rng.usize(0..6)], f.edges[w.rng.usize(0..6)]];
    // Half of the time at one edge.
    let edges = if w.rng.bool() { [edges[0], edges[0]] } else { edges };
    let apart = Span::ms(w.rng.u64(0..250));
    let what =
        format!("{variations:?} at {edges:?}, {} ms apart, {disruption:?}, {control:?}", apart.as_ms());
    say(w, f, control);
    let first = w.ask(edges[0], Want::Request(variations[0].request(path)));
    match disruption {
        Disruption::AnswerLost => each_page(w, f, |origin| origin.lose = 1.0),
        Disruption::ServerError => each_page(w, f, |origin| origin.fails = true),
        _ => (),
    }
    let fleet = f.clone();
    let lasts = if w.rng.bool() { 60 } else { w.rng.u64(60..400) };
    w.later(Span::ms(lasts), move |w| {
        each_page(w, &fleet, |origin| (origin.lose, origin.fails) = (0.0, false));
        if matches!(disruption, Disruption::BecomesPrivate) {
            say(w, &fleet, "private");
        }
    });
    if matches!(disruption, Disruption::Purge) {
        let page = PurgeBy::Page(HOST.into(), format!("/read/{path}"));
        w.later(Span::ms(40), move |w| {
            w.purge_by(edges[0], page);
        });
    }
    w.run(apart);
    let second = w.ask(edges[1], Want::Request(variations[1].request(path)));
    w.run(Span::secs(2));
    [first, second].iter().for_each(|token| results.check(w, *token, &what));
}

// Guards against an answer to one caller's own request (with a cookie, a range, a condition, a body, or
// of an object that is private) that is given to callers who joined its second attempt.
#[test]
fn given_two_callers_of_an_object_and_a_disruption_then_neither_gets_the_answer_made_for_the_other() {
    let pairs = number("LANEWING_SEEDS", 12) * 40;
    for (seed, plan) in [(4600, Plan::open()), (4601, Plan { disk_cache: true, ..Plan::open() })] {
        let (mut w, f) = World::running_open_fleet(plan, seed);
        let entry = lane_entry("read", Kind::Read, "pages", Span::secs(5));
        edited(&mut w, f.edges[1], vec![lane_edit("read", 2, entry)]);
        w.rules.ttl.insert("read".into(), Span::secs(5));
        each_page(&mut w, &f, |origin| (origin.selective, origin.work) = (true, Span::ms(50)));
        let mut results = Results::default();
        (0..pairs).for_each(|i| play_pair(&mut w, &f, &format!("red-{i}"), &mut results));
        let Results { served, flaws } = results;
        assert!(flaws.is_empty(), "{} of {served} answers, seed {seed}: {:#?}", flaws.len(), flaws);
        assert!(served as u64 > pairs * 3 / 2, "{served} of {} requests were served", pairs * 2);
        clean(&mut w);
    }
}
