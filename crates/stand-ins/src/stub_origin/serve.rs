//! What a stub origin answers.
use super::state::{Faults, SharedState, State};
use super::{wall_ms, StubOriginEnv};
use crate::content::page;
use control_state::{digest, num, obj, text};
use primitives::{parse, Look};
use std::io::Write;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response};
use tinyjson::JsonValue;

/// Which byte of a wrong answer is changed.
const CHANGED_BYTE: usize = 20;
const MISDIRECTED: u16 = 421;

/// What each serving thread shares with the others.
#[derive(Clone)]
pub(super) struct Server {
    pub env: StubOriginEnv,
    pub state: SharedState,
    /// This incarnation.
    pub birth: u64,
}

/// What a request for content says in its headers.
struct Caller {
    key: Option<String>,
    lane: String,
    /// Returned with the answer, so that callers can tell for whom it was made.
    name: String,
    /// The request is meant for another incarnation at this address.
    misdirected: bool,
}

impl Caller {
    fn of(request: &Request, birth: u64) -> Caller {
        let value = |name: &'static str| {
            let header = request.headers().iter().find(|header| header.field.equiv(name));
            header.map(|header| header.value.as_str().to_string())
        };
        Caller {
            key: value("Idempotency-Key"),
            lane: value("Lanewing-Lane").unwrap_or_default(),
            name: value("X-Load-Client").unwrap_or_default(),
            misdirected: value("Lanewing-Birth").is_some_and(|meant| meant != birth.to_string()),
        }
    }
}

impl Server {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn serve(&self, request: Request) {
        let path = request.url().trim_start_matches('/').to_string();
        match path.as_str() {
            "lanewing/probe" => {
                let mood = text(self.state().mood());
                let service = text(&self.env.svc);
                json(request, obj(vec![("service", service), ("birth", num(self.birth)), ("mood", mood)]))
            }
            "lanewing/tally" => {
                let tally = self.state().tally(&self.env.svc);
                json(request, tally)
            }
            "lanewing/fault" => self.take_faults(request),
            _ => self.serve_content(request, path),
        }
    }

    fn take_faults(&self, mut request: Request) {
        let mut body = String::new();
        let _ = request.as_reader().read_to_string(&mut body);
        let faults = parse(&body).and_then(|value| Faults::read(&Look::at(&value, "")));
        let taken = faults.map(|faults| self.state().faults = faults).is_ok();
        json(request, obj(vec![("taken", JsonValue::from(taken))]))
    }

    fn serve_content(&self, mut request: Request, path: String) {
        let caller = Caller::of(&request, self.birth);
        let _ = request.as_reader().read_to_end(&mut vec![]);
        let object = format!("{}/{path}", caller.lane);
        let (number, faults) = self.state().arrive(object, caller.key.as_ref(), caller.misdirected);
        thread::sleep(self.env.work + Duration::from_millis(faults.slow_ms));
        self.state().in_hand -= 1;
        if caller.misdirected {
            let why = b"another life of this address was meant".to_vec();
            return reply(request, MISDIRECTED, "text/plain", why, vec![]);
        }
        let every = |interval: u64| interval > 0 && number.is_multiple_of(interval);
        let body = page(&self.env.svc, &path);
        if every(faults.lose_every) {
            drop(request.into_writer());
        } else if every(faults.cut_every) {
            reply_half(request, &body);
        } else if every(faults.wrong_every) {
            reply_wrong(request, body);
        } else {
            reply_page(request, body, faults.edition, caller.name);
        }
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("plain header")
}

fn reply(request: Request, status: u16, mime: &str, body: Vec<u8>, more: Vec<(&str, String)>) {
    let digest = digest(&body);
    let mut response = Response::from_data(body).with_status_code(status);
    response.add_header(header("Content-Type", mime));
    response.add_header(header("Content-Digest", &digest));
    more.iter().for_each(|(name, value)| response.add_header(header(name, value)));
    let _ = request.respond(response);
}

fn json(request: Request, value: JsonValue) {
    let body = value.stringify().unwrap_or_default().into_bytes();
    reply(request, 200, "application/json", body, vec![]);
}

fn reply_page(request: Request, body: Vec<u8>, edition: u64, caller: String) {
    let made = wall_ms().to_string();
    let more = vec![("X-Made", made), ("X-Edition", edition.to_string()), ("X-Echo", caller)];
    reply(request, 200, "text/plain", body, more)
}

fn reply_half(request: Request, body: &[u8]) {
    let mut writer = request.into_writer();
    let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let _ = writer.write_all(&body[..body.len() / 2]);
    let _ = writer.flush();
}

fn reply_wrong(request: Request, mut body: Vec<u8>) {
    let digest = digest(&body);
    body[CHANGED_BYTE] ^= 1;
    let response = Response::from_data(body).with_header(header("Content-Digest", &digest));
    let _ = request.respond(response);
}
