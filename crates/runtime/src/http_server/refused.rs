//! Connections beyond the limit. Each gets a 503 and is kept open for a moment: closing a
//! connection with unread input would reset it, and the caller could lose the response.
use super::{answer, head::Persist, ClientConnection};
use crate::front::Reply;
use primitives::{Mono, Span};
use std::collections::VecDeque;
use std::io::Read;
use std::net::Shutdown;
use std::sync::Arc;

/// Rejected connections that are still open. Invariant: at most `MAX_KEPT`, oldest first. Old ones
/// are closed when the next connection is rejected.
#[derive(Default)]
pub struct Refused(VecDeque<(Mono, Arc<ClientConnection>)>);

const MAX_KEPT: usize = 64;
/// How long a rejected connection is kept open, if no more than `MAX_KEPT` are.
const KEPT_FOR: Span = Span::secs(1);

impl Refused {
    /// Sends a 503. Never blocks: nothing was sent on the connection yet, so the response fits
    /// into the socket's buffer.
    pub fn reject(&mut self, connection: Arc<ClientConnection>) {
        let _ = connection.stream.set_nonblocking(true);
        let reply = Reply::problem(503, "denied", "this node holds too many connections").after(2);
        let _ = answer::send(&connection.stream, &reply, false, Persist::No);
        let _ = connection.stream.shutdown(Shutdown::Write);
        let now = crate::now();
        while self.0.front().is_some_and(|(at, _)| self.0.len() >= MAX_KEPT || now - *at > KEPT_FOR) {
            self.0.pop_front().into_iter().for_each(|(_, old)| drain(&old));
        }
        self.0.push_back((now, connection));
    }

    /// Closes all rejected connections, to free their descriptors.
    pub fn close_all(&mut self) {
        self.0.drain(..).for_each(|(_, old)| drain(&old));
    }
}

/// Discards received input without waiting, so that closing does not reset the connection.
fn drain(connection: &ClientConnection) {
    let mut buf = [0; 4096];
    let _ = (0..16).take_while(|_| (&connection.stream).read(&mut buf).is_ok_and(|n| n > 0)).count();
}
