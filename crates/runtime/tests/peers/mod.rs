//! Peers made of plain sockets, and figures of this process.
#![allow(dead_code)]
use control_state::Msg;
use primitives::Addr;
use runtime::net::{frame, read_frame, Handshake, LinkClass};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

pub fn address(l: &TcpListener) -> Addr {
    Addr(l.local_addr().unwrap())
}

/// A message that tells its number.
pub fn digests(n: u64) -> Msg {
    Msg::Digests(vec![n])
}

pub fn number(m: &Msg) -> u64 {
    match m {
        Msg::Digests(d) => d[0],
        _ => panic!("only digests are sent: {m:?}"),
    }
}

/// A figure of the kernel's about this process, the voluntary switches of all threads.
pub fn figure(name: &str) -> u64 {
    let one = |path: std::path::PathBuf| -> u64 {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().parse().ok()).unwrap_or(0)
    };
    if name == "Threads:" {
        return one("/proc/self/status".into());
    }
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    tasks.flatten().map(|t| one(t.path().join("status"))).sum()
}

/// Another node: listens, and reads and writes when it is told to.
pub struct Peer {
    listener: Option<TcpListener>,
    from_node: Option<TcpStream>,
    to_node: Option<TcpStream>,
}

impl Peer {
    pub fn new() -> Peer {
        let listener = Some(TcpListener::bind("127.0.0.1:0").unwrap());
        Peer { listener, from_node: None, to_node: None }
    }

    pub fn at(&self) -> Addr {
        address(self.listener())
    }

    fn listener(&self) -> &TcpListener {
        self.listener.as_ref().expect("it listens")
    }

    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    pub fn listen_again(&mut self, at: Addr) {
        self.listener = Some(TcpListener::bind(at.0).unwrap());
    }

    /// The connection the node made.
    pub fn stream(&mut self) -> &mut TcpStream {
        self.from_node.as_mut().expect("accepted before")
    }

    /// Takes the node's connection and its greeting.
    pub fn accept(&mut self) {
        let (mut s, _) = self.listener().accept().unwrap();
        s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let _: Handshake = postcard::from_bytes(&read_frame(&mut s).unwrap()).unwrap();
        self.from_node = Some(s);
    }

    pub fn read(&mut self) -> Msg {
        let frame = read_frame(self.stream()).unwrap();
        postcard::from_bytes(&frame).unwrap()
    }

    /// What there is to read until the node says nothing for so long.
    pub fn read_all(&mut self, pause: Duration) -> Vec<Msg> {
        let s = self.stream();
        s.set_read_timeout(Some(pause)).unwrap();
        let each = std::iter::from_fn(|| read_frame(s).ok());
        each.map(|f| postcard::from_bytes(&f).unwrap()).collect()
    }

    pub fn hang_up(&mut self) {
        self.from_node = None;
    }

    pub fn say(&mut self, to: Addr, m: &Msg) {
        let me = Handshake { from: self.at(), class: LinkClass::Ordinary };
        let s = self.to_node.get_or_insert_with(|| {
            let mut s = TcpStream::connect(to.0).unwrap();
            s.write_all(&frame(&postcard::to_stdvec(&me).unwrap())).unwrap();
            s
        });
        s.write_all(&frame(&postcard::to_stdvec(m).unwrap())).unwrap();
    }
}
