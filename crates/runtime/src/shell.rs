//! Runs a part as a stakker actor: each input is one step of the part, and its outputs are
//! executed in order, none before the saves ahead of it are synced.
mod disk;
mod handle;
mod inbox;
mod outputs;

pub use disk::{append_entries, encode_single_entry, read_entries, unpack};
pub use handle::{Event, Handle};

use crate::disk_log::DiskLog;
use crate::executor::ExecutorCommand;
use crate::net::expiry::lifetime;
use crate::net::{self, Counts, Net};
use control_state::*;
use disk::{run_disk_thread, DiskCommand};
use inbox::{Inbox, Waiting};
use primitives::{Addr, Token};
use slog::{error, info, Logger};
use stakker::sync::Channel;
use stakker::{actor, after, fwd_to, lazy, ret_shutdown, stop, Stakker, CX};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::{channel, sync_channel, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What an actor needs to run a part.
pub struct Frame {
    pub part: Box<dyn Part>,
    /// Outputs to execute before the first step.
    pub first: Vec<Out>,
    /// Where saves are written; without a log they are dropped.
    pub ring: Option<DiskLog>,
    /// Sends the messages of the part.
    pub net: Net,
    /// Receives the requests to origins that the part starts.
    pub rounds: Option<Sender<ExecutorCommand>>,
    pub log: Logger,
}

struct Shell {
    part: Box<dyn Part>,
    /// Outputs not yet executed, in order. Invariant: none is executed before the saves ahead of
    /// it are synced.
    outputs: VecDeque<Out>,
    /// Outputs to execute once the current sync is done.
    after_sync: Vec<Out>,
    /// Passes batches of saves, and what is to be read, to the disk thread; `None` without a disk log.
    disk: Option<Sender<DiskCommand>>,
    /// The disk thread is writing a batch.
    syncing: bool,
    net: Net,
    /// A flush of the links is scheduled for after the current steps.
    flush_scheduled: bool,
    /// An event has arrived since the last tick.
    active: bool,
    rounds: Option<Sender<ExecutorCommand>>,
    /// Where the replies to unanswered requests go.
    pending_asks: HashMap<Token, Sender<NodeReply>>,
    waiting: Waiting,
    log: Logger,
}

/// Interval between ticks of a part that receives events.
const TICK: Duration = Duration::from_millis(10);
/// Interval between ticks of a part that received no event since its last tick. Invariant: far
/// below the pause between ticks that a part takes for a freeze of its process.
const IDLE_TICK: Duration = Duration::from_millis(20);

impl Shell {
    fn init(cx: CX![], setup: Frame, disk: Option<Sender<DiskCommand>>, waiting: Waiting) -> Option<Shell> {
        after!(TICK, [cx], tick());
        let mut s = Shell {
            part: setup.part,
            outputs: setup.first.into(),
            after_sync: vec![],
            disk,
            syncing: false,
            net: setup.net,
            flush_scheduled: false,
            active: true,
            rounds: setup.rounds,
            pending_asks: HashMap::new(),
            waiting,
            log: setup.log,
        };
        s.flush();
        s.flush_links_later(cx);
        Some(s)
    }

    fn tick(&mut self, cx: CX![]) {
        self.step(In::Tick);
        self.flush_links_later(cx);
        let interval = if std::mem::take(&mut self.active) { TICK } else { IDLE_TICK };
        after!(interval, [cx], tick());
    }

    /// Schedules one write per link for all messages of the current steps.
    fn flush_links_later(&mut self, cx: CX![]) {
        if self.net.has_queued() && !self.flush_scheduled {
            self.flush_scheduled = true;
            lazy!([cx], flush_links());
        }
    }

    fn flush_links(&mut self, _: CX![]) {
        self.flush_scheduled = false;
        self.net.flush();
    }

    fn event(&mut self, cx: CX![], event: Event) {
        self.active = true;
        self.waiting.done();
        match event {
            Event::Msg(from, message, received_at) => self.on_message(from, message, received_at),
            Event::Ask(token, ask, reply_to) => {
                self.pending_asks.insert(token, reply_to);
                self.step(In::Ask(token, ask));
            }
            Event::CallerGone(token) => {
                if self.pending_asks.contains_key(&token) {
                    self.step(In::CallerGone(token));
                }
            }
            Event::Synced(true) => {
                self.syncing = false;
                let after_sync = std::mem::take(&mut self.after_sync);
                after_sync.into_iter().for_each(|output| self.execute(output));
                self.flush();
            }
            Event::Synced(false) => {
                error!(self.log, "disk write failed: exiting, because nothing more can be stored durably");
                std::process::exit(74);
            }
            Event::Read(message, records) => self.step(In::Read(message, records)),
            Event::Stop => {
                self.net.flush();
                stop!(cx)
            }
        }
        self.flush_links_later(cx);
    }

    /// Drops a message that expired while it waited, so that a part that has fallen behind
    /// catches up with messages that are still useful.
    fn on_message(&mut self, from: Addr, message: Msg, received_at: Instant) {
        if received_at.elapsed() < lifetime(&message) {
            self.step(In::Msg(from, message));
        } else {
            self.net.counts.inbox_expired.fetch_add(1, Relaxed);
        }
    }

    fn step(&mut self, input: In) {
        let mut outputs = vec![];
        self.part.step(crate::now(), input, &mut outputs);
        let (immediate, ordered): (Vec<Out>, Vec<Out>) = outputs.into_iter().partition(Out::is_immediate);
        immediate.into_iter().for_each(|output| self.execute(output));
        self.outputs.extend(ordered);
        self.flush();
    }

    /// Syncs the saves, then executes the other outputs. Outputs that arrive during a sync wait
    /// for the next one.
    fn flush(&mut self) {
        if self.syncing || self.outputs.is_empty() {
            return;
        }
        let batch: Vec<Out> = self.outputs.drain(..).collect();
        let is_save = |output: &Out| matches!(output, Out::Save(_) | Out::Base(_) | Out::Trim(_));
        let (saves, rest): (Vec<Out>, Vec<Out>) = batch.into_iter().partition(is_save);
        match self.disk.as_ref().filter(|_| !saves.is_empty()) {
            Some(disk) => {
                self.syncing = true;
                self.after_sync = rest;
                let _ = disk.send(DiskCommand::Write(saves));
            }
            None => rest.into_iter().for_each(|output| self.execute(output)),
        }
    }
}

/// Runs the part on this thread until it is stopped. `on_start` is called with the handle
/// before the first event is processed.
pub fn run(setup: Frame, listener: TcpListener, counts: Arc<Counts>, on_start: impl FnOnce(Handle)) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let (waker, wake_ups) = sync_channel::<()>(1);
    s.set_poll_waker(move || {
        let _ = waker.try_send(());
    });
    let (command_sender, commands) = channel();
    let mut setup = setup;
    let disk_log = setup.ring.take();
    let log = setup.log.clone();
    let disk = disk_log.as_ref().map(|_| command_sender);
    let waiting = Waiting::default();
    let shell = actor!(s, Shell::init(setup, disk, waiting.clone()), ret_shutdown!(s));
    let (events, _guard) = Channel::new(s, fwd_to!([shell], event() as (Event)));
    let inbox = Inbox::new(events, waiting);
    let (disk_inbox, disk_logger) = (inbox.clone(), log.clone());
    if let Some(disk_log) = disk_log {
        thread::spawn(move || run_disk_thread(disk_log, commands, disk_inbox, disk_logger));
    }
    let message_inbox = inbox.clone();
    let _ = counts.log.set(log.clone());
    let inbox_counts = counts.clone();
    net::listen(listener, counts, move |from, message| message_inbox.offer(from, message, &inbox_counts));
    on_start(Handle::new(inbox));
    info!(log, "serving");
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), IDLE_TICK, false);
        let _ = wake_ups.recv_timeout(wait);
        s.poll_wake();
        s.run(Instant::now(), false);
    }
}
