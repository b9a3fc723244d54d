//! Executes the outputs of a part.
use super::disk::DiskCommand;
use super::Shell;
use crate::executor::ExecutorCommand;
use crate::process;
use control_state::*;
use slog::{error, info};

impl Shell {
    fn command(&self, command: ExecutorCommand) {
        if let Some(executor) = &self.rounds {
            let _ = executor.send(command);
        }
    }

    /// Has the records read that the message lacks; without a log there are none.
    fn read(&mut self, message: Box<StoredMessage>) {
        match &self.disk {
            Some(disk) => {
                let _ = disk.send(DiskCommand::Read(message));
            }
            None => {
                let records = vec![None; message.missing.len()];
                self.step(In::Read(message, records));
            }
        }
    }

    /// Counters of the shell and its links, added to the health of the part.
    fn counters(&self) -> Vec<(&'static str, u64)> {
        let mut all = self.net.counts.by_name();
        all.push(("links queued bytes", self.net.queued_bytes() as u64));
        all.push(("inbox", self.waiting.count() as u64));
        all.push(("outputs held", (self.outputs.len() + self.after_sync.len()) as u64));
        all.extend(process::threads().map(|n| ("threads", n)));
        all
    }

    pub(super) fn execute(&mut self, output: Out) {
        match output {
            Out::Send(to, message) | Out::SendNow(to, message) => self.net.queue(to, &message),
            Out::Tell(token, mut reply) => {
                if let NodeReply::Health(health) = &mut reply {
                    health.counts.extend(self.counters());
                }
                if let Some(reply_to) = self.pending_asks.remove(&token) {
                    let _ = reply_to.send(reply);
                }
            }
            Out::Fetch(round) => self.command(ExecutorCommand::Run(Box::new(round))),
            Out::Abandon(n) => self.command(ExecutorCommand::Abandon(n)),
            Out::Read(message) => self.read(message),
            Out::Note(text) => info!(self.log, "{}", text),
            Out::Alarm(text) => error!(self.log, "{}", text),
            Out::Report(report) => error!(self.log, "{}", report),
            Out::Save(_) | Out::Base(_) | Out::Trim(_) => (),
        }
    }
}
