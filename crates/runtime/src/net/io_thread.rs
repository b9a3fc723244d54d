//! The process's one I/O thread: it waits for readiness of all links of all parts,
//! accepts, reads, connects, retries, and writes what senders could not.
use super::event_loop::EventLoop;
use super::inbound::Take;
use super::link::Link;
use super::Counts;
use mio::{Token, Waker};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;

pub(super) const WAKER: Token = Token(0);

/// What other threads ask of the I/O thread.
pub(super) enum Command {
    Listen {
        listener: TcpListener,
        counts: Arc<Counts>,
        take: Box<Take>,
    },
    /// A link has something queued that its sender could not write.
    DriveLink(Arc<Link>),
}

/// Speaks to the I/O thread from any thread.
pub(super) struct IoThread {
    waker: Waker,
    commands: Mutex<Vec<Command>>,
    next_token: AtomicUsize,
}

impl IoThread {
    /// The process's own; started when it is first asked for.
    pub(super) fn shared() -> Arc<IoThread> {
        static SHARED: OnceLock<Arc<IoThread>> = OnceLock::new();
        SHARED.get_or_init(IoThread::start).clone()
    }

    fn start() -> Arc<IoThread> {
        let poll = mio::Poll::new().expect("every Linux has epoll");
        let waker = Waker::new(poll.registry(), WAKER).expect("every Linux has eventfd");
        let commands = Mutex::default();
        let io = Arc::new(IoThread { waker, commands, next_token: AtomicUsize::new(WAKER.0 + 1) });
        let shared = io.clone();
        let run = move || EventLoop::new(poll, shared).run();
        thread::Builder::new().name("links".into()).spawn(run).expect("a process can have a second thread");
        io
    }

    pub(super) fn next_token(&self) -> Token {
        Token(self.next_token.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn drive_link(&self, link: Arc<Link>) {
        self.submit(Command::DriveLink(link));
    }

    pub(super) fn listen(&self, listener: TcpListener, counts: Arc<Counts>, take: Box<Take>) {
        self.submit(Command::Listen { listener, counts, take });
    }

    /// One wake-up stands for all commands that gather until it is answered.
    fn submit(&self, c: Command) {
        let mut commands = self.commands.lock().expect("no thread panics with it");
        commands.push(c);
        if commands.len() == 1 {
            self.waker.wake().expect("an eventfd takes a number");
        }
    }

    pub(super) fn take_commands(&self) -> Vec<Command> {
        std::mem::take(&mut *self.commands.lock().expect("no thread panics with it"))
    }
}
