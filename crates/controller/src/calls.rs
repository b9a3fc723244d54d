//! Calls that other nodes pass on: answered to the node, not to a local asker.
use crate::controller::Controller;
use control_state::*;
use primitives::{Addr, Mono, Token};

/// Tokens of the shell stay below.
const OURS: u64 = 1 << 62;
/// Calls that may be open; older ones are forgotten, for their nodes ask again.
const MOST: usize = 4096;

impl Controller {
    pub(crate) fn on_call(&mut self, now: Mono, from: Addr, n: AskId, c: Call, out: &mut Vec<Out>) {
        self.next_call += 1;
        let t = Token(OURS + self.next_call);
        self.calls.insert(t, (from, n));
        while self.calls.len() > MOST {
            self.calls.pop_first();
        }
        let ask = match c {
            Call::Change(c) => Ask::Change(c),
            Call::Beat(b) => Ask::Beat(b, None),
            Call::SignOff(tag) => Ask::SignOff(tag),
            Call::Table => Ask::Table,
        };
        self.ask(now, t, ask, out);
    }

    /// What this step told callers through other nodes goes to those nodes.
    pub(crate) fn answer_calls(&mut self, first: usize, out: &mut [Out]) {
        for o in out.iter_mut().skip(first) {
            let Out::Tell(t, r) = o else { continue };
            if let Some((to, n)) = self.calls.remove(t) {
                *o = Out::Send(to, Msg::Called(n, Box::new(Said::of(r.clone()))));
            }
        }
    }
}
