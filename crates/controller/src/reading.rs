//! Reading the whole state by agreement: a command that clashes with every change, answered at
//! its place in the order, so that nothing acknowledged before the question can be missing.
use crate::controller::Controller;
use caesar::Cid;
use control_state::*;
use primitives::{Mono, Token};

/// Who waits for a reading.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Reader {
    pub token: Token,
    /// What it holds itself: it is sent nothing if that is all there is.
    pub holds: Option<ItemsDigest>,
}

impl Controller {
    /// Proposes a reading; the answer comes when it is delivered.
    pub(crate) fn read(&mut self, now: Mono, reader: Reader, out: &mut Vec<Out>) {
        let mut outputs = vec![];
        if let Some(machine) = &mut self.mach {
            let cid = machine.propose(now, Cmd::Look, &mut outputs);
            self.readers.insert(cid, reader);
        }
        self.carry(now, outputs, out);
    }

    /// The reading has come to its place in the order.
    pub(crate) fn answer_reader(&mut self, now: Mono, cid: Cid, out: &mut Vec<Out>) {
        let Some(reader) = self.readers.remove(&cid) else { return };
        let digest = || ItemsDigest::of(self.base.era, &self.state.items);
        let receipt = if reader.holds.is_some_and(|held| held == digest()) {
            Receipt::Unchanged
        } else {
            Receipt::Table(Box::new(self.state.shown()), self.beats_now(now))
        };
        out.push(Out::Tell(reader.token, receipt));
    }

    /// The reading has lost its place in the order.
    pub(crate) fn deny_reader(&mut self, cid: Cid, out: &mut Vec<Out>) {
        let reader = self.readers.remove(&cid);
        let overtaken = Receipt::NotNow("the reading was overtaken; ask again");
        out.extend(reader.map(|r| Out::Tell(r.token, overtaken)));
    }

    /// All readings are void, for this reason.
    pub(crate) fn deny_all_readers(&mut self, why: &'static str, out: &mut Vec<Out>) {
        let readers = std::mem::take(&mut self.readers);
        out.extend(readers.into_values().map(|r| Out::Tell(r.token, Receipt::NotNow(why))));
    }
}
