//! Requests to a controller, from callers in its own process and forwarded by other nodes. A forwarded
//! call is answered to the node that sent it.
use crate::controller::Controller;
use crate::reading::Reader;
use control_state::*;
use primitives::{Addr, Mono, Token};

/// Lowest token for forwarded calls; tokens given by this controller's process are smaller.
const FIRST_CALL_TOKEN: u64 = 1 << 62;
/// Maximum number of open forwarded calls. Beyond it the oldest are dropped; their nodes retry.
const MAX_OPEN_CALLS: usize = 4096;

const NO_QUORUM: NodeReply = NodeReply::Unavailable("no quorum of controllers in reach");
const STATE_TOO_LARGE: NodeReply =
    NodeReply::Unavailable("the change would make the state too large for the controllers' disks");

impl Controller {
    /// Answers a request at once, or when what it asks for is decided and in force.
    pub(crate) fn ask(&mut self, now: Mono, token: Token, ask: Ask, out: &mut Vec<Out>) {
        let ready = self.may_decide(now);
        let reply = match ask {
            Ask::Drain => NodeReply::Health(self.drain(now, out)),
            Ask::Ready => NodeReply::Health(self.health(now)),
            _ if self.watch.stopping => NodeReply::Unavailable("this controller is leaving"),
            Ask::Change(c) if !self.has_room(&c) => STATE_TOO_LARGE,
            Ask::Change(c) if ready && self.gathered(now, &c) => {
                return self.submit(now, Some(token), c, out)
            }
            Ask::OriginHeartbeat(origin_heartbeat, mark) if self.may_acknowledge_heartbeats(now) => {
                return self.on_direct_heartbeat(now, token, origin_heartbeat, mark, out)
            }
            Ask::SignOff(tag) if ready => return self.deregister_origin(now, token, &tag, out),
            Ask::Replace { old, new } => self.replace(now, old, new, out),
            Ask::Table if ready => {
                return self.read(now, Reader { token, asked: now, held_digest: None }, out)
            }
            Ask::TableIfChanged(held) if ready => {
                return self.read(now, Reader { token, asked: now, held_digest: Some(held) }, out)
            }
            Ask::Change(_)
            | Ask::OriginHeartbeat(..)
            | Ask::SignOff(_)
            | Ask::Table
            | Ask::TableIfChanged(_) => NO_QUORUM,
            Ask::Read => NodeReply::Unavailable("a controller's state is read as its table"),
            _ => NodeReply::Acknowledged,
        };
        out.push(Out::Tell(token, reply));
    }

    /// Handles a call that another node forwarded.
    pub(crate) fn on_call(
        &mut self,
        now: Mono,
        from: Addr,
        request: RequestId,
        call: Call,
        out: &mut Vec<Out>,
    ) {
        self.next_call += 1;
        let token = Token(FIRST_CALL_TOKEN + self.next_call);
        self.calls.insert(token, (from, request));
        while self.calls.len() > MAX_OPEN_CALLS {
            self.calls.pop_first();
        }
        let ask = match call {
            Call::Change(change) => Ask::Change(change),
            Call::OriginHeartbeat(origin_heartbeat) => Ask::OriginHeartbeat(origin_heartbeat, None),
            Call::SignOff(tag) => Ask::SignOff(tag),
            Call::Read(held) => Ask::TableIfChanged(held),
        };
        self.ask(now, token, ask, out);
    }

    /// Turns the answers to forwarded calls into messages to the nodes that sent them, among the outputs
    /// from index `first_output` on.
    pub(crate) fn answer_calls(&mut self, first_output: usize, out: &mut [Out]) {
        for output in out.iter_mut().skip(first_output) {
            let Out::Tell(token, reply) = output else { continue };
            if let Some((to, request)) = self.calls.remove(token) {
                *output = Out::Send(to, Msg::CallAnswered(request, Box::new(CallAnswer::of(reply.clone()))));
            }
        }
    }
}
