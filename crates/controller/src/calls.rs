//! What a controller is asked, by callers of its own process and by other nodes: those are
//! answered to the node, not to a local asker.
use crate::controller::Controller;
use crate::reading::Reader;
use control_state::*;
use primitives::{Addr, Mono, Token};

/// Tokens of the shell stay below.
const OURS: u64 = 1 << 62;
/// Calls that may be open; older ones are forgotten, for their nodes ask again.
const MOST: usize = 4096;

const NO_QUORUM: NodeReply = NodeReply::Unavailable("no quorum of controllers in reach");
const NO_ROOM: NodeReply = NodeReply::Unavailable("the state would outgrow the controllers' disks");

impl Controller {
    /// Answers now, or once what was asked is decided and in force.
    pub(crate) fn ask(&mut self, now: Mono, t: Token, ask: Ask, out: &mut Vec<Out>) {
        let ready = self.may_decide(now);
        let r = match ask {
            Ask::Drain => NodeReply::Health(self.drain(now, out)),
            Ask::Ready => NodeReply::Health(self.health(now)),
            _ if self.watch.stopping => NodeReply::Unavailable("this controller is leaving"),
            Ask::Change(c) if !self.has_room(&c) => NO_ROOM,
            Ask::Change(c) if ready && self.gathered(now, &c) => return self.submit(now, Some(t), c, out),
            Ask::OriginHeartbeat(b, mark) if self.may_acknowledge_heartbeats(now) => {
                return self.on_direct_heartbeat(now, t, b, mark, out)
            }
            Ask::SignOff(tag) if ready => return self.sign_off(now, t, &tag, out),
            Ask::Replace { old, new } => self.replace(now, old, new, out),
            Ask::Table if ready => return self.read(now, Reader { token: t, asked: now, holds: None }, out),
            Ask::TableIfChanged(held) if ready => {
                return self.read(now, Reader { token: t, asked: now, holds: Some(held) }, out)
            }
            Ask::Change(_)
            | Ask::OriginHeartbeat(..)
            | Ask::SignOff(_)
            | Ask::Table
            | Ask::TableIfChanged(_) => NO_QUORUM,
            Ask::Read => NodeReply::Unavailable("controllers are read by their table"),
            _ => NodeReply::Acknowledged,
        };
        out.push(Out::Tell(t, r));
    }

    pub(crate) fn on_call(&mut self, now: Mono, from: Addr, n: RequestId, c: Call, out: &mut Vec<Out>) {
        self.next_call += 1;
        let t = Token(OURS + self.next_call);
        self.calls.insert(t, (from, n));
        while self.calls.len() > MOST {
            self.calls.pop_first();
        }
        let ask = match c {
            Call::Change(c) => Ask::Change(c),
            Call::OriginHeartbeat(b) => Ask::OriginHeartbeat(b, None),
            Call::SignOff(tag) => Ask::SignOff(tag),
            Call::Read(held) => Ask::TableIfChanged(held),
        };
        self.ask(now, t, ask, out);
    }

    /// What this step told callers through other nodes goes to those nodes.
    pub(crate) fn answer_calls(&mut self, first: usize, out: &mut [Out]) {
        for o in out.iter_mut().skip(first) {
            let Out::Tell(t, r) = o else { continue };
            if let Some((to, n)) = self.calls.remove(t) {
                *o = Out::Send(to, Msg::CallAnswered(n, Box::new(CallAnswer::of(r.clone()))));
            }
        }
    }
}
