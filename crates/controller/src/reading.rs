//! Linearizable reads of the whole state: a read is a command that conflicts with every change and is
//! answered at its place in the agreed order, so it shows everything acknowledged before it began.
use crate::controller::Controller;
use caesar::CommandId;
use control_state::*;
use primitives::{Mono, Token};

/// A caller that waits for a read.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Reader {
    pub token: Token,
    pub asked: Mono,
    /// Digest of the state that the caller holds. If the state matches, the answer is `Unchanged`.
    pub held_digest: Option<ItemsDigest>,
}

impl Reader {
    /// A report for the log, if this read took long.
    fn report(&self, now: Mono, outcome: &'static str) -> Option<Out> {
        let took = now - self.asked;
        (took >= SLOW_CALL).then_some(Out::Report(Report::Reading { outcome, took }))
    }

    fn reject(self, now: Mono, reason: &'static str, out: &mut Vec<Out>) {
        out.push(Out::Tell(self.token, NodeReply::Unavailable(reason)));
        out.push(Out::Report(Report::Reading { outcome: reason, took: now - self.asked }));
    }
}

impl Controller {
    /// Proposes a read, which is answered when the command is delivered.
    pub(crate) fn read(&mut self, now: Mono, reader: Reader, out: &mut Vec<Out>) {
        let mut outputs = vec![];
        if let Some(machine) = &mut self.consensus {
            let cid = machine.propose(now, Cmd::Look, &mut outputs);
            self.readers.insert(cid, reader);
        }
        self.handle_outputs(now, outputs, out);
    }

    /// Answers a read whose command was delivered.
    pub(crate) fn answer_reader(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        let Some(reader) = self.readers.remove(&cid) else { return };
        let digest = || ItemsDigest::of(self.base.era, &self.state.items);
        let reply = if reader.held_digest.is_some_and(|held| held == digest()) {
            NodeReply::Unchanged
        } else {
            NodeReply::Table(Box::new(self.state.shown()), self.current_heartbeats(now))
        };
        out.push(Out::Tell(reader.token, reply));
        out.extend(reader.report(now, "answered"));
    }

    /// Proposes a read again whose command was replaced by a no-op.
    pub(crate) fn retry_read(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        if let Some(reader) = self.readers.remove(&cid) {
            self.read(now, reader, out);
        }
    }

    /// Proposes all pending reads again in a new era, or rejects them if this controller is not a member
    /// of it.
    pub(crate) fn repropose_readings(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() {
            return self.reject_all_reads(now, "this controller is no longer a member", out);
        }
        let readers = std::mem::take(&mut self.readers);
        readers.into_values().for_each(|reader| self.read(now, reader, out));
    }

    /// Rejects all pending reads for the given reason.
    pub(crate) fn reject_all_reads(&mut self, now: Mono, reason: &'static str, out: &mut Vec<Out>) {
        let readers = std::mem::take(&mut self.readers);
        readers.into_values().for_each(|reader| reader.reject(now, reason, out));
    }
}
