//! What the disk gives back, and what it must hold.
use crate::machine::Machine;
use crate::types::*;
use primitives::Mono;

impl<C: Command> Machine<C> {
    /// Takes back one record of the disk; call for all, in order, before any input.
    pub fn replay(&mut self, rec: LogRecord<C>) {
        match rec {
            LogRecord::Tuple(cid, t) => {
                self.clock = self.clock.max(t.stamp.k + 1);
                let b = self.ballots.entry(cid).or_default();
                *b = (*b).max(t.ballot);
                self.note_stable(cid, t.status);
                self.put(cid, t);
            }
            LogRecord::StatusChanged(cid, t) => {
                // Records are whole and in order, so the command was recorded before.
                if let Some(cmd) = self.h.get(&cid).map(|was| was.cmd.clone()) {
                    self.replay(LogRecord::Tuple(cid, t.with(cmd)));
                }
            }
            LogRecord::Ballot(cid, b) => {
                let was = self.ballots.entry(cid).or_default();
                *was = (*was).max(b);
            }
            LogRecord::Clock(k) => self.clock = self.clock.max(k),
        }
        self.bound = self.bound.max(self.clock);
    }

    /// After the last `replay`: delivers again what was delivered before.
    pub fn resume(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        self.deliver(now, out);
    }

    /// Everything a disk must hold of this machine, in short.
    pub fn dump(&self) -> Vec<LogRecord<C>> {
        let tuples = self.h.iter().map(|(c, t)| LogRecord::Tuple(*c, t.clone()));
        let ballots = self.ballots.iter().map(|(c, b)| LogRecord::Ballot(*c, *b));
        ballots.chain(tuples).chain([LogRecord::Clock(self.bound)]).collect()
    }
}
