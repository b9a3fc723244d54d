//! The single I/O thread of the process. For the links of all parts it waits for readiness,
//! accepts, reads, connects, retries, and writes what senders could not write themselves.
use super::event_loop::EventLoop;
use super::inbound::OnMessage;
use super::link::Link;
use super::Counts;
use mio::{Token, Waker};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;

/// The token of the waker; links and listeners get the tokens after it.
pub(super) const WAKER: Token = Token(0);

/// A request of another thread to the I/O thread.
pub(super) enum Command {
    /// Accept connections and deliver their messages.
    Listen { listener: TcpListener, counts: Arc<Counts>, on_message: Box<OnMessage> },
    /// A link has frames queued that its sender could not write.
    DriveLink(Arc<Link>),
}

/// A handle to the I/O thread, for use from any thread.
pub(super) struct IoThread {
    waker: Waker,
    commands: Mutex<Vec<Command>>,
    next_token: AtomicUsize,
}

impl IoThread {
    /// The I/O thread of this process, started on first use.
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
        thread::Builder::new().name("links".into()).spawn(run).expect("the I/O thread can be started");
        io
    }

    /// A token that no other socket of this process has.
    pub(super) fn next_token(&self) -> Token {
        Token(self.next_token.fetch_add(1, Ordering::Relaxed))
    }

    /// Lets the I/O thread connect the link and write what it has queued.
    pub(super) fn drive_link(&self, link: Arc<Link>) {
        self.submit(Command::DriveLink(link));
    }

    /// Lets the I/O thread accept connections on `listener`.
    pub(super) fn listen(&self, listener: TcpListener, counts: Arc<Counts>, on_message: Box<OnMessage>) {
        self.submit(Command::Listen { listener, counts, on_message });
    }

    /// Only the first command of a batch wakes the thread: it takes all waiting commands at once.
    fn submit(&self, command: Command) {
        let mut commands = self.commands.lock().expect("no thread panics while it holds the lock");
        commands.push(command);
        if commands.len() == 1 {
            self.waker.wake().expect("an eventfd can be written");
        }
    }

    pub(super) fn take_commands(&self) -> Vec<Command> {
        std::mem::take(&mut *self.commands.lock().expect("no thread panics while it holds the lock"))
    }
}
