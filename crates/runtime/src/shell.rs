//! Runs a part as a stakker actor: inputs become steps, outputs are carried out
//! in order, none before the saves ahead of it are synced.
mod disk;
mod handle;
mod inbox;

pub use disk::{encode_single_entry, unpack};
pub use handle::{Event, Handle};

use crate::disk_log::DiskLog;
use crate::net::expiry::lifetime;
use crate::net::{self, Counts, Net};
use crate::process;
use control_state::*;
use disk::run_disk_thread;
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

pub struct Frame {
    pub part: Box<dyn Part>,
    pub first: Vec<Out>,
    pub ring: Option<DiskLog>,
    pub net: Net,
    /// Where rounds go to be run.
    pub rounds: Option<Sender<Round>>,
    pub log: Logger,
}

struct Shell {
    part: Box<dyn Part>,
    /// Invariant: in order; nothing leaves past a save that is not yet synced.
    line: VecDeque<Out>,
    /// Waits for the sync under way.
    held: Vec<Out>,
    disk: Option<Sender<Vec<Out>>>,
    syncing: bool,
    net: Net,
    /// Queued messages will be written once the steps at hand are done.
    flush_scheduled: bool,
    /// Has heard something since its last tick.
    active: bool,
    rounds: Option<Sender<Round>>,
    asks: HashMap<Token, Sender<NodeReply>>,
    next: u64,
    waiting: Waiting,
    log: Logger,
}

/// Between ticks of a part that is being spoken to.
const TICK: Duration = Duration::from_millis(10);
/// Between ticks of one that heard nothing since its last. Invariant: far below the pause
/// that a part takes for a freeze of its process.
const IDLE_TICK: Duration = Duration::from_millis(20);

impl Shell {
    fn init(cx: CX![], f: Frame, disk: Option<Sender<Vec<Out>>>, waiting: Waiting) -> Option<Shell> {
        after!(TICK, [cx], tick());
        let mut s = Shell {
            part: f.part,
            line: f.first.into(),
            held: vec![],
            disk,
            syncing: false,
            net: f.net,
            flush_scheduled: false,
            active: true,
            rounds: f.rounds,
            asks: HashMap::new(),
            next: 0,
            waiting,
            log: f.log,
        };
        s.flush();
        s.flush_links_later(cx);
        Some(s)
    }

    fn tick(&mut self, cx: CX![]) {
        self.step(In::Tick);
        self.flush_links_later(cx);
        let next = if std::mem::take(&mut self.active) { TICK } else { IDLE_TICK };
        after!(next, [cx], tick());
    }

    /// One write for each link, with all messages of the steps before it.
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

    fn event(&mut self, cx: CX![], e: Event) {
        self.active = true;
        self.waiting.done();
        match e {
            Event::Msg(from, m, came) => self.take(from, m, came),
            Event::Ask(a, tx) => {
                self.next += 1;
                self.asks.insert(Token(self.next), tx);
                self.step(In::Ask(Token(self.next), a));
            }
            Event::Synced(true) => {
                self.syncing = false;
                let held = std::mem::take(&mut self.held);
                held.into_iter().for_each(|o| self.carry(o));
                self.flush();
            }
            Event::Synced(false) => {
                error!(self.log, "disk failed: stopping, for nothing can be promised any more");
                std::process::exit(74);
            }
            Event::Stop => {
                self.net.flush();
                stop!(cx)
            }
        }
        self.flush_links_later(cx);
    }

    /// What waited until it means nothing any more is dropped, so that a part that has fallen
    /// behind catches up with what still does.
    fn take(&mut self, from: Addr, m: Msg, came: Instant) {
        if came.elapsed() < lifetime(&m) {
            self.step(In::Msg(from, m));
        } else {
            self.net.counts.inbox_expired.fetch_add(1, Relaxed);
        }
    }

    fn step(&mut self, i: In) {
        let mut out = vec![];
        self.part.step(crate::now(), i, &mut out);
        let (immediate, ordered): (Vec<Out>, Vec<Out>) = out.into_iter().partition(Out::is_immediate);
        immediate.into_iter().for_each(|o| self.carry(o));
        self.line.extend(ordered);
        self.flush();
    }

    /// Sync, then send. What gathers during a sync goes with the next one.
    fn flush(&mut self) {
        if self.syncing || self.line.is_empty() {
            return;
        }
        let batch: Vec<Out> = self.line.drain(..).collect();
        let saves = |o: &Out| matches!(o, Out::Save(_) | Out::Base(_));
        let (save, rest): (Vec<Out>, Vec<Out>) = batch.into_iter().partition(saves);
        match self.disk.as_ref().filter(|_| !save.is_empty()) {
            Some(d) => {
                self.syncing = true;
                self.held = rest;
                let _ = d.send(save);
            }
            None => rest.into_iter().for_each(|o| self.carry(o)),
        }
    }

    /// What the shell holds for its part, for its health.
    fn figures(&self) -> Vec<(&'static str, u64)> {
        let mut all = self.net.counts.figures();
        all.push(("links queued bytes", self.net.queued_bytes() as u64));
        all.push(("inbox", self.waiting.count() as u64));
        all.push(("outputs held", (self.line.len() + self.held.len()) as u64));
        all.extend(process::threads().map(|n| ("threads", n)));
        all
    }

    fn carry(&mut self, o: Out) {
        match o {
            Out::Send(to, m) | Out::SendNow(to, m) => self.net.queue(to, &m),
            Out::Tell(t, mut r) => {
                if let NodeReply::Health(health) = &mut r {
                    health.counts.extend(self.figures());
                }
                if let Some(tx) = self.asks.remove(&t) {
                    let _ = tx.send(r);
                }
            }
            Out::Fetch(r) => self.rounds.iter().for_each(|tx| {
                let _ = tx.send(r.clone());
            }),
            Out::Note(what) => info!(self.log, "{}", what),
            Out::Alarm(why) => error!(self.log, "{}", why),
            Out::Report(report) => error!(self.log, "{}", report),
            Out::Save(_) | Out::Base(_) => (),
        }
    }
}

/// Runs the part until it is stopped; `front` gets the handle first.
pub fn run(f: Frame, listener: TcpListener, counts: Arc<Counts>, front: impl FnOnce(Handle)) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let (wake, woken) = sync_channel::<()>(1);
    s.set_poll_waker(move || {
        let _ = wake.try_send(());
    });
    let (tx, rx) = channel();
    let mut f = f;
    let ring = f.ring.take();
    let log = f.log.clone();
    let disk = ring.as_ref().map(|_| tx);
    let waiting = Waiting::default();
    let shell = actor!(s, Shell::init(f, disk, waiting.clone()), ret_shutdown!(s));
    let (events, _guard) = Channel::new(s, fwd_to!([shell], event() as (Event)));
    let chan = Inbox::new(events, waiting);
    let (tell, dlog) = (chan.clone(), log.clone());
    if let Some(r) = ring {
        thread::spawn(move || run_disk_thread(r, rx, tell, dlog));
    }
    let take = chan.clone();
    let _ = counts.log.set(log.clone());
    let counted = counts.clone();
    net::listen(listener, counts, move |from, m| take.offer(from, m, &counted));
    front(Handle::new(chan));
    info!(log, "serving");
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), IDLE_TICK, false);
        let _ = woken.recv_timeout(wait);
        s.poll_wake();
        s.run(Instant::now(), false);
    }
}
