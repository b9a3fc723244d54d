//! One connection's requests, one after the other.
use super::head::{self, Head, Persist};
use super::input::{Input, Stop};
use super::{answer, body, ClientConnection, Exchange, Hand, HttpRequest, HttpServer, Limits, Service};
use crate::front::Reply;
use crate::memory_budget::MemoryReservation;
use crate::request_parser::Body;
use primitives::Span;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;

/// How long, and for how many bytes, a caller that is told the last word may go
/// on sending before it is not listened to.
const LINGER: (Span, usize) = (Span::secs(1), 1 << 20);

struct Conn<'a> {
    door: &'a HttpServer,
    guest: &'a ClientConnection,
    input: Input<'a>,
    limits: Limits,
    /// The socket's own limit to writes, so that it is set only when it changes.
    send: Option<Span>,
}

/// What to do with the connection after a request.
#[derive(PartialEq, Eq)]
enum After {
    Next,
    /// The last answer went out.
    Linger,
    Close,
}

pub fn run(door: &HttpServer, guest: &ClientConnection, f: &Service) {
    let (input, limits) = (Input::new(&guest.stream), (door.limits)());
    let mut c = Conn { door, guest, input, limits, send: None };
    let after = loop {
        let a = c.next(f);
        if a != After::Next {
            break a;
        }
    };
    if after == After::Linger {
        c.linger();
    }
}

impl Conn<'_> {
    /// Waits for a request's first byte. Invariant: a door that is shut after this
    /// began to wait finds it idle; one that was shut before is seen here.
    fn begin(&mut self) -> bool {
        if !self.input.unread().is_empty() {
            return true;
        }
        self.input.shrink();
        self.guest.idle.store(true, SeqCst);
        if self.door.shut.load(SeqCst) {
            self.guest.last_look();
        }
        let came = self.input.more(self.limits.idle).is_ok();
        self.guest.idle.store(false, SeqCst);
        came
    }

    fn next(&mut self, f: &Service) -> After {
        if !self.begin() {
            return After::Close;
        }
        let _hand = Hand::new(self.door);
        self.limits = (self.door.limits)();
        match self.request(f) {
            Ok(None) => After::Next,
            Ok(Some((v, p, _memory))) => {
                self.door.requests.fetch_add(1, SeqCst);
                self.serve(f, v, p)
            }
            Err(s) => self.last_word(s),
        }
    }

    fn serve(&mut self, f: &Service, v: HttpRequest, p: Persist) -> After {
        let asked_head = v.method == "HEAD";
        let Some(watch) = &f.extras.watch else {
            return self.answer((f.serve)(v), asked_head, p);
        };
        let (method, target, read) = (v.method.clone(), v.target.clone(), v.read);
        let r = (f.serve)(v);
        let answered = crate::now();
        let (status, bytes) = (r.status, r.body.len());
        let after = self.answer(r, asked_head, p);
        let (waited, sending) = (answered - read, crate::now() - answered);
        let written = after != After::Close;
        watch(Exchange { method, target, status, bytes, waited, sending, written });
        after
    }

    /// None if there was but an empty line, which some callers send after a body. The memory of
    /// its body is taken until the request was answered.
    fn request(
        &mut self,
        f: &Service,
    ) -> Result<Option<(HttpRequest, Persist, Option<MemoryReservation>)>, Stop> {
        let (mut seen, mut until) = (0, None);
        let mut skipped = false;
        let end = loop {
            match head::end(self.input.unread(), &mut seen)? {
                Some(2) if !skipped => {
                    (skipped, seen) = (true, 0);
                    self.input.consume(2);
                    if self.input.unread().is_empty() {
                        return Ok(None);
                    }
                    continue;
                }
                Some(n) if n <= self.limits.heads => break n,
                None if self.input.unread().len() < self.limits.heads => (),
                _ => return Err(head::long(self.input.unread(), self.limits.heads).into()),
            }
            let until = *until.get_or_insert_with(|| crate::now() + self.limits.head_wait);
            let left = until - crate::now();
            if left == Span(0) {
                return Err(Stop::Slow);
            }
            self.input.more(left)?;
        };
        let h = head::parse(&self.input.unread()[..end], &self.limits)?;
        self.input.consume(end);
        let Head { method, target, host, heads, body, persist, expects_continue } = h;
        let more = !matches!(body, Body::None | Body::Sized(0));
        if expects_continue && more && self.input.unread().is_empty() {
            (&self.guest.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let held = body::read(&mut self.input, body, &self.limits, f.extras.bodies.as_ref())?;
        let (peer, read, body) = (self.guest.peer, crate::now(), held.bytes);
        Ok(Some((HttpRequest { method, target, host, heads, body, peer, read }, persist, held.memory)))
    }

    fn last_word(&mut self, s: Stop) -> After {
        let r = match s {
            Stop::Gone => return After::Close,
            Stop::Say(r) => r,
            Stop::Slow => Reply::problem(408, "slow", "the request took too long to come"),
            Stop::Ended if self.door.shut.load(SeqCst) => {
                Reply::problem(503, "denied", "this node is leaving").after(1)
            }
            Stop::Ended => Reply::problem(400, "invalid", "the request broke off"),
        };
        self.answer(r, false, Persist::No)
    }

    fn answer(&mut self, r: Reply, asked_head: bool, p: Persist) -> After {
        let r = r.in_time();
        let r = match r.status {
            200..=999 => r,
            _ => Reply::problem(502, "invalid", "the answer has a status that ends no request"),
        };
        let p = if self.door.leaving.load(SeqCst) { Persist::No } else { p };
        let wait = self.limits.send.max(Span::ms(1));
        if self.send != Some(wait) {
            let _ = self.guest.stream.set_write_timeout(Some(wait.into()));
            self.send = Some(wait);
        }
        match answer::send(&self.guest.stream, &r, asked_head, p) {
            Err(_) => After::Close,
            Ok(()) if p == Persist::No => After::Linger,
            Ok(()) => After::Next,
        }
    }

    /// A connection that is closed with input unread takes its answer with it.
    fn linger(&self) {
        let (mut s, (wait, most)) = (&self.guest.stream, LINGER);
        let _ = s.shutdown(Shutdown::Write);
        let (mut buf, mut n, until) = ([0; 4096], 0, crate::now() + wait);
        while n < most {
            let left = until - crate::now();
            if left == Span(0) || s.set_read_timeout(Some(left.max(Span::ms(1)).into())).is_err() {
                return;
            }
            match s.read(&mut buf) {
                Ok(0) | Err(_) => return,
                Ok(k) => n += k,
            }
        }
    }
}
