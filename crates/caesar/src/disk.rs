//! Restoring a replica from its log, and writing out its state as log records.
use crate::machine::Machine;
use crate::types::*;
use primitives::Mono;

impl<C: Command> Machine<C> {
    /// Applies one record of the log.
    ///
    /// Must be called for all records, in the order in which they were saved, before any
    /// other input.
    pub fn replay(&mut self, record: LogRecord<C>) {
        match record {
            LogRecord::Tuple(cid, tuple) => {
                self.clock = self.clock.max(tuple.stamp.k + 1);
                let promised = self.ballots.entry(cid).or_default();
                *promised = (*promised).max(tuple.ballot);
                self.count_stable(cid, tuple.status);
                self.insert_tuple(cid, tuple);
            }
            LogRecord::StatusChanged(cid, tuple) => {
                // The log is complete and in order, so a `Tuple` record with the command came before.
                if let Some(cmd) = self.history.get(&cid).map(|previous| previous.cmd.clone()) {
                    self.replay(LogRecord::Tuple(cid, tuple.with(cmd)));
                }
            }
            LogRecord::Ballot(cid, ballot) => {
                let previous = self.ballots.entry(cid).or_default();
                *previous = (*previous).max(ballot);
            }
            LogRecord::Clock(k) => self.clock = self.clock.max(k),
        }
        self.bound = self.bound.max(self.clock);
    }

    /// To be called after the last [`replay`](Machine::replay): delivers again the commands that
    /// had been delivered before the restart.
    pub fn resume(&mut self, now: Mono, out: &mut Vec<Out<C>>) {
        self.deliver(now, out);
    }

    /// The records from which [`replay`](Machine::replay) restores the current state; they can
    /// replace the log.
    pub fn dump(&self) -> Vec<LogRecord<C>> {
        let tuples = self.history.iter().map(|(cid, tuple)| LogRecord::Tuple(*cid, tuple.clone()));
        let ballots = self.ballots.iter().map(|(cid, ballot)| LogRecord::Ballot(*cid, *ballot));
        ballots.chain(tuples).chain([LogRecord::Clock(self.bound)]).collect()
    }
}
