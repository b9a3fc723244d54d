//! Serves the requests of one connection, one after the other.
use super::head::{self, Head, Persist};
use super::input::{Input, ReadError};
use super::{
    answer, body, ClientConnection, Exchange, HttpRequest, HttpServer, InFlightGuard, Limits, Service,
};
use crate::front::Reply;
use crate::memory_budget::MemoryReservation;
use crate::request_parser::Body;
use primitives::Span;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;

/// For how long and for how many bytes input is still read and discarded after the last
/// response on a connection, before the connection is closed.
const LINGER: (Span, usize) = (Span::secs(1), 1 << 20);

struct Conn<'a> {
    server: &'a HttpServer,
    connection: &'a Arc<ClientConnection>,
    input: Input<'a>,
    limits: Limits,
    /// The socket's current write timeout, so that it is set only when it changes.
    write_timeout: Option<Span>,
}

/// A request that was read completely.
struct ReceivedRequest {
    request: HttpRequest,
    persist: Persist,
    /// Whether its caller understands interim responses.
    accepts_interim: bool,
    /// Reserved for its body; held until the response is sent.
    memory: Option<MemoryReservation>,
}

/// What happens to the connection after a request.
#[derive(PartialEq, Eq)]
enum After {
    Next,
    /// The last response was sent: input is discarded for a moment before the close.
    Linger,
    Close,
}

/// Serves a connection until it ends.
pub fn run(server: &HttpServer, connection: &Arc<ClientConnection>, service: &Service) {
    let (input, limits) = (Input::new(&connection.stream), (server.limits)());
    let mut conn = Conn { server, connection, input, limits, write_timeout: None };
    let after = loop {
        let after = conn.next(service);
        if after != After::Next {
            break after;
        }
    };
    if after == After::Linger {
        conn.linger();
    }
}

impl Conn<'_> {
    /// Waits for a request's first byte; false if there is none. Invariant: a server that is
    /// shut down after this began to wait sees the connection as idle and ends the wait; a
    /// shutdown from before is noticed here.
    fn wait_for_request(&mut self) -> bool {
        if !self.input.unread().is_empty() {
            return true;
        }
        self.input.shrink();
        self.connection.idle.store(true, SeqCst);
        if self.server.shut.load(SeqCst) {
            self.connection.shutdown_read();
        }
        let arrived = self.input.read_more(self.limits.idle).is_ok();
        self.connection.idle.store(false, SeqCst);
        arrived
    }

    fn next(&mut self, service: &Service) -> After {
        if !self.wait_for_request() {
            return After::Close;
        }
        let _in_flight = InFlightGuard::new(self.server);
        self.limits = (self.server.limits)();
        match self.read_request(service) {
            Ok(None) => After::Next,
            Ok(Some(received)) => {
                self.server.requests.fetch_add(1, SeqCst);
                self.serve(service, received)
            }
            Err(error) => self.reject(error),
        }
    }

    fn serve(&mut self, service: &Service, received: ReceivedRequest) -> After {
        let ReceivedRequest { request, persist, accepts_interim, memory: _memory } = received;
        let is_head = request.method == "HEAD";
        let departures = service.departures.as_ref();
        let watched = departures.map(|d| d.watch(self.connection, &request.departure, accepts_interim));
        let Some(watch) = &service.options.watch else {
            let reply = (service.serve)(request);
            drop(watched);
            return self.answer(reply, is_head, persist);
        };
        let (method, target, read) = (request.method.clone(), request.target.clone(), request.read);
        let reply = (service.serve)(request);
        drop(watched);
        let answered = crate::now();
        let (status, bytes) = (reply.status, reply.body.len());
        let after = self.answer(reply, is_head, persist);
        let (waited, sending) = (answered - read, crate::now() - answered);
        let written = after != After::Close;
        watch(Exchange { method, target, status, bytes, waited, sending, written });
        after
    }

    /// Reads one request. None if there was only an empty line, which some callers send after
    /// a body.
    fn read_request(&mut self, service: &Service) -> Result<Option<ReceivedRequest>, ReadError> {
        let (mut scanned, mut head_deadline) = (0, None);
        let mut skipped_empty_line = false;
        let end = loop {
            match head::length(self.input.unread(), &mut scanned)? {
                Some(2) if !skipped_empty_line => {
                    (skipped_empty_line, scanned) = (true, 0);
                    self.input.consume(2);
                    if self.input.unread().is_empty() {
                        return Ok(None);
                    }
                    continue;
                }
                Some(n) if n <= self.limits.heads => break n,
                None if self.input.unread().len() < self.limits.heads => (),
                _ => return Err(head::too_long(self.input.unread(), self.limits.heads).into()),
            }
            let deadline = *head_deadline.get_or_insert_with(|| crate::now() + self.limits.head_wait);
            let left = deadline - crate::now();
            if left == Span(0) {
                return Err(ReadError::TimedOut);
            }
            self.input.read_more(left)?;
        };
        let head = head::parse(&self.input.unread()[..end], &self.limits)?;
        self.input.consume(end);
        let Head { method, target, host, heads, body, persist, expects_continue, accepts_interim } = head;
        let has_body = !matches!(body, Body::None | Body::Sized(0));
        if expects_continue && has_body && self.input.unread().is_empty() {
            (&self.connection.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let received = body::read(&mut self.input, body, &self.limits, service.options.bodies.as_ref())?;
        let (peer, read, body) = (self.connection.peer, crate::now(), received.bytes);
        let departure = Default::default();
        let request = HttpRequest { method, target, host, heads, body, peer, read, departure };
        Ok(Some(ReceivedRequest { request, persist, accepts_interim, memory: received.memory }))
    }

    /// Sends the response to a request that could not be read; it closes the connection.
    fn reject(&mut self, error: ReadError) -> After {
        let reply = match error {
            ReadError::Disconnected => return After::Close,
            ReadError::Rejected(reply) => reply,
            ReadError::TimedOut => Reply::problem(408, "slow", "the request was not received in time"),
            ReadError::UnexpectedEof if self.server.shut.load(SeqCst) => {
                Reply::problem(503, "denied", "this node is shutting down").after(1)
            }
            ReadError::UnexpectedEof => {
                Reply::problem(400, "invalid", "the connection ended before the request was complete")
            }
        };
        self.answer(reply, false, Persist::No)
    }

    fn answer(&mut self, reply: Reply, is_head: bool, persist: Persist) -> After {
        let reply = reply.unless_expired();
        let reply = match reply.status {
            200..=999 => reply,
            _ => Reply::problem(502, "invalid", "the response has no valid final status"),
        };
        let persist = if self.server.leaving.load(SeqCst) { Persist::No } else { persist };
        let timeout = self.limits.send.max(Span::ms(1));
        if self.write_timeout != Some(timeout) {
            let _ = self.connection.stream.set_write_timeout(Some(timeout.into()));
            self.write_timeout = Some(timeout);
        }
        match answer::send(&self.connection.stream, &reply, is_head, persist) {
            Err(_) => After::Close,
            Ok(()) if persist == Persist::No => After::Linger,
            Ok(()) => After::Next,
        }
    }

    /// Discards further input: closing a connection with unread input would reset it, and the
    /// caller could lose the response.
    fn linger(&self) {
        let (mut stream, (wait, max_bytes)) = (&self.connection.stream, LINGER);
        let _ = stream.shutdown(Shutdown::Write);
        let (mut buf, mut discarded, until) = ([0; 4096], 0, crate::now() + wait);
        while discarded < max_bytes {
            let left = until - crate::now();
            if left == Span(0) || stream.set_read_timeout(Some(left.max(Span::ms(1)).into())).is_err() {
                return;
            }
            match stream.read(&mut buf) {
                Ok(0) | Err(_) => return,
                Ok(n) => discarded += n,
            }
        }
    }
}
