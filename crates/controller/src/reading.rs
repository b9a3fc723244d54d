//! Reading the whole state by agreement: a command that clashes with every change, answered at
//! its place in the order, so that nothing acknowledged before the question can be missing.
use crate::controller::Controller;
use caesar::CommandId;
use control_state::*;
use primitives::{Mono, Token};

/// Who waits for a reading.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Reader {
    pub token: Token,
    pub asked: Mono,
    /// What it holds itself: it is sent nothing if that is all there is.
    pub holds: Option<ItemsDigest>,
}

impl Reader {
    /// A line for the log if this one waited long.
    fn report(&self, now: Mono, outcome: &'static str) -> Option<Out> {
        let took = now - self.asked;
        (took >= SLOW_CALL).then_some(Out::Report(Report::Reading { outcome, took }))
    }

    fn deny(self, now: Mono, why: &'static str, out: &mut Vec<Out>) {
        out.push(Out::Tell(self.token, NodeReply::Unavailable(why)));
        out.push(Out::Report(Report::Reading { outcome: why, took: now - self.asked }));
    }
}

impl Controller {
    /// Proposes a reading; the answer comes when it is delivered.
    pub(crate) fn read(&mut self, now: Mono, reader: Reader, out: &mut Vec<Out>) {
        let mut outputs = vec![];
        if let Some(machine) = &mut self.consensus {
            let cid = machine.propose(now, Cmd::Look, &mut outputs);
            self.readers.insert(cid, reader);
        }
        self.carry(now, outputs, out);
    }

    /// The reading has come to its place in the order.
    pub(crate) fn answer_reader(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        let Some(reader) = self.readers.remove(&cid) else { return };
        let digest = || ItemsDigest::of(self.base.era, &self.state.items);
        let receipt = if reader.holds.is_some_and(|held| held == digest()) {
            NodeReply::Unchanged
        } else {
            NodeReply::Table(Box::new(self.state.shown()), self.current_heartbeats(now))
        };
        out.push(Out::Tell(reader.token, receipt));
        out.extend(reader.report(now, "answered"));
    }

    /// The reading has lost its place in the order, which was filled without effect: it takes
    /// another one.
    pub(crate) fn retry_reading(&mut self, now: Mono, cid: CommandId, out: &mut Vec<Out>) {
        if let Some(reader) = self.readers.remove(&cid) {
            self.read(now, reader, out);
        }
    }

    /// An era has ended with these readings under way: they are proposed anew in the next one,
    /// if this controller has a seat in it.
    pub(crate) fn repropose_readings(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.consensus.is_none() {
            return self.deny_all_readers(now, "not a member any more", out);
        }
        let readers = std::mem::take(&mut self.readers);
        readers.into_values().for_each(|reader| self.read(now, reader, out));
    }

    /// All readings are void, for this reason.
    pub(crate) fn deny_all_readers(&mut self, now: Mono, why: &'static str, out: &mut Vec<Out>) {
        let readers = std::mem::take(&mut self.readers);
        readers.into_values().for_each(|reader| reader.deny(now, why, out));
    }
}
