//! Connections there is no place for. They are told so and held for a moment,
//! since closing one that sent more than was read takes its answer away.
use super::{answer, head::Persist, ClientConnection};
use crate::front::Reply;
use primitives::{Mono, Span};
use std::collections::VecDeque;
use std::io::Read;
use std::net::Shutdown;
use std::sync::Arc;

/// Invariant: at most `MOST`, oldest first. Whoever comes next ends the old ones.
#[derive(Default)]
pub struct Refused(VecDeque<(Mono, Arc<ClientConnection>)>);

const MOST: usize = 64;
const HELD: Span = Span::secs(1);

impl Refused {
    /// Never waits: nothing was sent to it yet, so there is room for the answer.
    pub fn tell(&mut self, g: Arc<ClientConnection>) {
        let _ = g.stream.set_nonblocking(true);
        let r = Reply::problem(503, "denied", "this node holds too many connections").after(2);
        let _ = answer::send(&g.stream, &r, false, Persist::No);
        let _ = g.stream.shutdown(Shutdown::Write);
        let now = crate::now();
        while self.0.front().is_some_and(|(at, _)| self.0.len() >= MOST || now - *at > HELD) {
            self.0.pop_front().into_iter().for_each(|(_, g)| drain(&g));
        }
        self.0.push_back((now, g));
    }

    /// Their descriptors are wanted.
    pub fn clear(&mut self) {
        self.0.drain(..).for_each(|(_, g)| drain(&g));
    }
}

fn drain(g: &ClientConnection) {
    let mut buf = [0; 4096];
    let _ = (0..16).take_while(|_| (&g.stream).read(&mut buf).is_ok_and(|n| n > 0)).count();
}
