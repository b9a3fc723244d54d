//! The event loop of the I/O thread. Sockets are registered edge-triggered: after a readiness
//! event, a socket must be read or written until the call would block.
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

/// Most events fetched from the kernel in one call.
const EVENTS_PER_POLL: usize = 256;
/// Size in bytes of the read buffer that all connections share.
const READ_BUFFER_LEN: usize = 64 << 10;
/// Delay before accepting again after a failure, such as when no file descriptors are left.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Times at which sockets need attention without an event; at most one for each socket.
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

    /// Time until the earliest deadline.
    fn time_left(&self, now: Instant) -> Option<Duration> {
        self.by_time.first().map(|(at, _)| at.saturating_duration_since(now))
    }

    /// Removes and returns the next token whose deadline has passed.
    fn pop(&mut self, now: Instant) -> Option<Token> {
        let (_, token) = *self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.set(token, None);
        Some(token)
    }
}

/// State of the I/O thread.
pub(super) struct EventLoop {
    poll: Poll,
    io: Arc<IoThread>,
    listeners: HashMap<Token, Listener>,
    inbound: HashMap<Token, Inbound>,
    /// The newest connection of each class from each sender to each listener.
    newest: HashMap<(Token, Handshake), Token>,
    links: HashMap<Token, Arc<Link>>,
    deadlines: Deadlines,
    /// Connections that may have more to read but had used up their turn.
    unread: Vec<Token>,
    read_buffer: Vec<u8>,
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
            read_buffer: vec![0; READ_BUFFER_LEN],
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        loop {
            let timeout = if self.unread.is_empty() {
                self.deadlines.time_left(Instant::now())
            } else {
                Some(Duration::ZERO)
            };
            match self.poll.poll(&mut events, timeout) {
                Ok(()) => (),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => panic!("epoll_wait failed: {error}"),
            }
            self.handle_events(&events);
        }
    }

    fn handle_events(&mut self, events: &Events) {
        let unread = std::mem::take(&mut self.unread);
        events.iter().for_each(|event| self.on_event(event));
        unread.into_iter().for_each(|token| self.read(token, true));
        let now = Instant::now();
        while let Some(token) = self.deadlines.pop(now) {
            self.on_deadline(token, now);
        }
    }

    fn on_event(&mut self, event: &Event) {
        let token = event.token();
        if token == WAKER {
            self.io.take_commands().into_iter().for_each(|command| self.run_command(command));
        } else if self.listeners.contains_key(&token) {
            self.accept(token);
        } else if let Some(link) = self.links.get(&token) {
            let deadline = link.on_event(Instant::now(), self.poll.registry());
            self.deadlines.set(token, deadline);
        } else {
            self.read(token, event.is_read_closed() || event.is_error());
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

    fn run_command(&mut self, command: Command) {
        match command {
            Command::DriveLink(link) => {
                let token = link.token;
                self.links.entry(token).or_insert(link);
                self.on_deadline(token, Instant::now());
            }
            Command::Listen { listener, counts, on_message } => {
                listener.set_nonblocking(true).expect("a socket can be made non-blocking");
                let mut socket = mio::net::TcpListener::from_std(listener);
                let token = self.io.next_token();
                let registered = self.poll.registry().register(&mut socket, token, Interest::READABLE);
                registered.expect("a listening socket can be registered with epoll");
                self.listeners.insert(token, Listener { socket, counts, on_message: Rc::from(on_message) });
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
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(e) if [ErrorKind::ConnectionAborted, ErrorKind::Interrupted].contains(&e.kind()) => (),
                Err(_) => return self.deadlines.set(token, Some(Instant::now() + ACCEPT_RETRY)),
            }
        }
    }

    /// Registers an accepted connection; drops it if its options cannot be set, since then it is
    /// already closed.
    fn register(&mut self, mut inbound: Inbound) {
        let token = self.io.next_token();
        let Ok(stream) = inbound.prepare() else { return };
        if self.poll.registry().register(stream, token, Interest::READABLE).is_ok() {
            self.inbound.insert(token, inbound);
        }
    }

    fn read(&mut self, token: Token, ending: bool) {
        let Some(inbound) = self.inbound.get_mut(&token) else { return };
        let was_known = inbound.from.is_some();
        let outcome = inbound.read(&mut self.read_buffer, ending);
        let sender = inbound.from.map(|from| (inbound.listener, from));
        match outcome {
            ReadOutcome::Drained => (),
            ReadOutcome::More => self.unread.push(token),
            ReadOutcome::Ended => self.close(token),
        }
        if let Some(sender) = sender.filter(|_| !was_known && outcome != ReadOutcome::Ended) {
            self.supersede(sender, token);
        }
    }

    /// Closes the previous connection of the same sender and class: a sender reconnects only
    /// after it gave up the old connection.
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
