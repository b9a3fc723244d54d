//! Minds callers' connections. The HTTP library shows no sockets, so they are
//! found by their two addresses and shut from outside: those that are slow to
//! ask, slow to send, slow to take, or that broke the framing.
use nix::sys::socket::{getpeername, getsockname, shutdown, Shutdown, SockaddrStorage};
use nix::unistd::{close, dup};
use primitives::{Mono, Span};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Between requests, or still sending the head of one.
    Asking,
    /// Sending a body.
    Sending,
    /// Its request is in hand.
    Waiting,
    /// Taking the answer.
    Taking,
    /// Broke the framing: what follows on this connection means nothing.
    Outcast,
}

#[derive(Copy, Clone, Debug)]
pub struct Patience {
    pub ask: Span,
    pub send: Span,
    pub take: Span,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience { ask: Span::secs(30), send: Span::secs(10), take: Span::secs(30) }
    }
}

pub struct Usher {
    /// Where callers are listened for.
    at: SocketAddr,
    patience: Patience,
    guests: Mutex<HashMap<SocketAddr, (Doing, Mono)>>,
}

/// Connections that have asked nothing for so long, but not longer, may be left lying.
const NUDGE: (Span, Span) = (Span::ms(200), Span::secs(3));
const MOST: usize = 32;
/// How long an outcast is known after its connection is not found any more.
const REMEMBERED: Span = Span::secs(2);
const EVERY: Duration = Duration::from_millis(250);

impl Usher {
    pub fn start(at: SocketAddr, patience: Patience) -> Arc<Usher> {
        let u = Arc::new(Usher { at, patience, guests: Mutex::default() });
        let weak = Arc::downgrade(&u);
        thread::spawn(move || {
            while let Some(u) = weak.upgrade() {
                u.round(crate::now());
                drop(u);
                thread::sleep(EVERY);
            }
        });
        u
    }

    pub fn set(&self, who: SocketAddr, d: Doing) {
        let mut g = self.guests.lock().expect("no thread panics with it");
        let outcast = g.get(&who).is_some_and(|(d, _)| *d == Doing::Outcast);
        if !outcast {
            g.insert(who, (d, crate::now()));
        }
    }

    pub fn outcast(&self, who: SocketAddr) -> bool {
        let g = self.guests.lock().expect("no thread panics with it");
        g.get(&who).is_some_and(|(d, _)| *d == Doing::Outcast)
    }

    /// Ends one side of a connection. Whoever reads from it then waits no more.
    fn shut(&self, who: SocketAddr, side: Shutdown) {
        self.find(|at, fd| {
            if at == who {
                let _ = shutdown(fd, side);
            }
        });
    }

    pub fn shut_idle(&self) {
        self.find(|who, fd| {
            let g = self.guests.lock().expect("no thread panics with it");
            if g.get(&who).is_none_or(|(d, _)| *d == Doing::Asking) {
                let _ = shutdown(fd, Shutdown::Both);
            }
        });
    }

    /// No more is taken from it.
    pub fn deafen(&self, who: SocketAddr) {
        self.shut(who, Shutdown::Read);
    }

    /// No more is said to it.
    pub fn hush(&self, who: SocketAddr) {
        self.shut(who, Shutdown::Write);
    }

    fn round(&self, now: Mono) {
        let (mut here, mut stuck) = (vec![], 0);
        self.find(|who, fd| {
            here.push(who);
            let (doing, since) = {
                let mut g = self.guests.lock().expect("no thread panics with it");
                *g.entry(who).or_insert((Doing::Asking, now))
            };
            let waits = now - since;
            stuck += (doing == Doing::Asking && waits > NUDGE.0 && waits < NUDGE.1) as usize;
            let most = match doing {
                Doing::Asking => self.patience.ask,
                Doing::Sending => self.patience.send,
                Doing::Taking => self.patience.take,
                Doing::Outcast => Span::secs(1),
                Doing::Waiting => return,
            };
            if waits > most {
                let _ = shutdown(fd, Shutdown::Both);
            }
        });
        // One accepted while this looked is not among them, nor is an outcast whose two sides
        // are shut; of both, bytes may still be read.
        let kept = |(doing, since): &(Doing, Mono)| {
            *since >= now || (*doing == Doing::Outcast && now - *since < REMEMBERED)
        };
        let mut guests = self.guests.lock().expect("no thread panics with it");
        guests.retain(|w, g| here.contains(w) || kept(g));
        drop(guests);
        self.nudge(stuck);
    }

    /// The library's pool may leave a new connection lying while all its threads
    /// wait on others. A connection that ends at once makes it a thread that then
    /// takes up what lies there.
    fn nudge(&self, n: usize) {
        for _ in 0..n.min(MOST) {
            let _ = TcpStream::connect_timeout(&self.at, EVERY);
        }
    }

    /// Every connection to the listened address, held open while it is looked at,
    /// so that its number cannot pass to another one meanwhile.
    fn find(&self, mut f: impl FnMut(SocketAddr, i32)) {
        let Ok(dir) = std::fs::read_dir("/proc/self/fd") else { return };
        let all: Vec<i32> = dir.flatten().filter_map(|e| e.file_name().to_str()?.parse().ok()).collect();
        for fd in all.into_iter().filter_map(|n| dup(n).ok()) {
            let mine = getsockname::<SockaddrStorage>(fd).ok().and_then(|a| plain(&a));
            let who = getpeername::<SockaddrStorage>(fd).ok().and_then(|a| plain(&a));
            if mine.is_some_and(|m| m.port() == self.at.port()) {
                who.into_iter().for_each(|w| f(w, fd));
            }
            let _ = close(fd);
        }
    }
}

fn plain(a: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = a.as_sockaddr_in().map(|a| SocketAddr::from((a.ip(), a.port())));
    v4.or_else(|| a.as_sockaddr_in6().map(|a| SocketAddr::from((a.ip(), a.port()))))
}
