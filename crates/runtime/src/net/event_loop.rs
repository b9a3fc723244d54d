//! The loop of the I/O thread. Sockets are registered edge-triggered: whoever is told
//! that a socket is ready reads or writes it until the kernel has no more for it.
use super::inbound::{Inbound, Listener, ReadOutcome};
use super::io_thread::{Command, IoThread, WAKER};
use super::link::Link;
use super::Handshake;
use mio::event::Event;
use mio::{Events, Interest, Poll, Token};
use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Events taken from the kernel at a time.
const EVENTS: usize = 256;
/// The buffer that all connections read into, one after the other.
const SCRATCH: usize = 64 << 10;
/// How long to let others give back descriptors when there are none left.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// When to look at which socket though nothing has happened; at most one time for each.
#[derive(Default)]
struct Deadlines {
    by_time: BTreeSet<(Instant, Token)>,
    by_token: HashMap<Token, Instant>,
}

impl Deadlines {
    fn set(&mut self, token: Token, at: Option<Instant>) {
        if let Some(old) = self.by_token.remove(&token) {
            self.by_time.remove(&(old, token));
        }
        if let Some(at) = at {
            self.by_token.insert(token, at);
            self.by_time.insert((at, token));
        }
    }

    fn wait(&self, now: Instant) -> Option<Duration> {
        self.by_time.first().map(|(at, _)| at.saturating_duration_since(now))
    }

    fn pop(&mut self, now: Instant) -> Option<Token> {
        let (_, token) = *self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.set(token, None);
        Some(token)
    }
}

pub(super) struct EventLoop {
    poll: Poll,
    io: Arc<IoThread>,
    listeners: HashMap<Token, Listener>,
    inbound: HashMap<Token, Inbound>,
    /// The newest connection of each class from each sender to each listener.
    newest: HashMap<(Token, Handshake), Token>,
    links: HashMap<Token, Arc<Link>>,
    deadlines: Deadlines,
    /// Connections that were not read to their end when others had their turn.
    unread: Vec<Token>,
    scratch: Vec<u8>,
}

impl EventLoop {
    pub(super) fn new(poll: Poll, io: Arc<IoThread>) -> EventLoop {
        EventLoop {
            poll,
            io,
            listeners: HashMap::new(),
            inbound: HashMap::new(),
            newest: HashMap::new(),
            links: HashMap::new(),
            deadlines: Deadlines::default(),
            unread: vec![],
            scratch: vec![0; SCRATCH],
        }
    }

    /// Runs as long as the process.
    pub(super) fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let wait = if self.unread.is_empty() {
                self.deadlines.wait(Instant::now())
            } else {
                Some(Duration::ZERO)
            };
            match self.poll.poll(&mut events, wait) {
                Ok(()) => (),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => panic!("epoll fails: {e}"),
            }
            self.turn(&events);
        }
    }

    fn turn(&mut self, events: &Events) {
        let unread = std::mem::take(&mut self.unread);
        events.iter().for_each(|e| self.on_event(e));
        unread.into_iter().for_each(|t| self.read(t, true));
        let now = Instant::now();
        while let Some(token) = self.deadlines.pop(now) {
            self.on_deadline(token, now);
        }
    }

    fn on_event(&mut self, e: &Event) {
        let token = e.token();
        if token == WAKER {
            self.io.take_commands().into_iter().for_each(|c| self.obey(c));
        } else if self.listeners.contains_key(&token) {
            self.accept(token);
        } else if let Some(link) = self.links.get(&token) {
            let deadline = link.on_event(Instant::now(), self.poll.registry());
            self.deadlines.set(token, deadline);
        } else {
            self.read(token, e.is_read_closed() || e.is_error());
        }
    }

    fn on_deadline(&mut self, token: Token, now: Instant) {
        if let Some(link) = self.links.get(&token) {
            let deadline = link.drive_link(now, self.poll.registry());
            self.deadlines.set(token, deadline);
        } else if self.listeners.contains_key(&token) {
            self.accept(token);
        }
    }

    fn obey(&mut self, c: Command) {
        match c {
            Command::DriveLink(link) => {
                let token = link.token;
                self.links.entry(token).or_insert(link);
                self.on_deadline(token, Instant::now());
            }
            Command::Listen { listener, counts, take } => {
                listener.set_nonblocking(true).expect("a socket can be told not to block");
                let mut socket = mio::net::TcpListener::from_std(listener);
                let token = self.io.next_token();
                let registered = self.poll.registry().register(&mut socket, token, Interest::READABLE);
                registered.expect("a listening socket can be waited for");
                self.listeners.insert(token, Listener { socket, counts, take: Rc::from(take) });
            }
        }
    }

    fn accept(&mut self, token: Token) {
        loop {
            let Some(listener) = self.listeners.get(&token) else { return };
            match listener.socket.accept() {
                Ok((stream, _)) => {
                    let inbound = Inbound::new(stream, token, listener);
                    self.register(inbound);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if [ErrorKind::ConnectionAborted, ErrorKind::Interrupted].contains(&e.kind()) => (),
                Err(_) => return self.deadlines.set(token, Some(Instant::now() + ACCEPT_RETRY)),
            }
        }
    }

    /// A connection that cannot be prepared is gone already.
    fn register(&mut self, mut inbound: Inbound) {
        let token = self.io.next_token();
        let Ok(stream) = inbound.prepare() else { return };
        if self.poll.registry().register(stream, token, Interest::READABLE).is_ok() {
            self.inbound.insert(token, inbound);
        }
    }

    fn read(&mut self, token: Token, ending: bool) {
        let Some(inbound) = self.inbound.get_mut(&token) else { return };
        let known = inbound.from.is_some();
        let turn = inbound.read(&mut self.scratch, ending);
        let sender = inbound.from.map(|from| (inbound.listener, from));
        match turn {
            ReadOutcome::Drained => (),
            ReadOutcome::More => self.unread.push(token),
            ReadOutcome::Ended => self.close(token),
        }
        if let Some(sender) = sender.filter(|_| !known && turn != ReadOutcome::Ended) {
            self.supersede(sender, token);
        }
    }

    /// A sender connects anew only when it has given up its former connection.
    fn supersede(&mut self, sender: (Token, Handshake), token: Token) {
        if let Some(old) = self.newest.insert(sender, token) {
            self.close(old);
        }
    }

    fn close(&mut self, token: Token) {
        let Some(inbound) = self.inbound.remove(&token) else { return };
        if let Some(sender) = inbound.from.map(|from| (inbound.listener, from)) {
            if self.newest.get(&sender) == Some(&token) {
                self.newest.remove(&sender);
            }
        }
    }
}
