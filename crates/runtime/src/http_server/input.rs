//! What a connection's caller sends, through a buffer that is used over and over.
use crate::front::Reply;
use primitives::Span;
use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// Why a request is not read on.
pub enum Stop {
    /// Nobody is there to be told.
    Gone,
    /// The caller ended it halfway.
    Ended,
    /// It took longer than may be.
    Slow,
    /// The last word on this connection.
    Say(Reply),
}

impl From<Error> for Stop {
    fn from(e: Error) -> Stop {
        match e.kind() {
            ErrorKind::UnexpectedEof => Stop::Ended,
            ErrorKind::WouldBlock | ErrorKind::TimedOut => Stop::Slow,
            _ => Stop::Gone,
        }
    }
}

impl From<Reply> for Stop {
    fn from(r: Reply) -> Stop {
        Stop::Say(r)
    }
}

/// Invariant: `buf[from..to]` was read and not yet used; it comes before anything
/// still in the socket.
pub struct Input<'a> {
    stream: &'a TcpStream,
    buf: Vec<u8>,
    from: usize,
    to: usize,
    /// The socket's own limit, so that it is set only when it changes.
    wait: Option<Span>,
}

/// Bytes of the buffer, but for a longer head.
pub const SMALL: usize = 4 << 10;

impl<'a> Input<'a> {
    pub fn new(stream: &'a TcpStream) -> Input<'a> {
        Input { stream, buf: vec![0; SMALL], from: 0, to: 0, wait: None }
    }

    pub fn unread(&self) -> &[u8] {
        &self.buf[self.from..self.to]
    }

    pub fn consume(&mut self, n: usize) {
        self.from += n;
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
        }
    }

    /// Gives back what a long head took.
    pub fn shrink(&mut self) {
        if self.buf.len() > SMALL && self.to - self.from <= SMALL {
            let mut b = vec![0; SMALL];
            b[..self.to - self.from].copy_from_slice(self.unread());
            (self.buf, self.to, self.from) = (b, self.to - self.from, 0);
        }
    }

    fn patience(&mut self, wait: Span) -> Result<()> {
        let wait = wait.max(Span::ms(1));
        if self.wait != Some(wait) {
            self.stream.set_read_timeout(Some(wait.into()))?;
            self.wait = Some(wait);
        }
        Ok(())
    }

    /// One read, of at least a byte.
    pub fn more(&mut self, wait: Span) -> Result<()> {
        self.patience(wait)?;
        if self.to == self.buf.len() && self.from > 0 {
            self.buf.copy_within(self.from..self.to, 0);
            (self.to, self.from) = (self.to - self.from, 0);
        }
        if self.to == self.buf.len() {
            self.buf.resize(self.buf.len() * 2, 0);
        }
        loop {
            match self.stream.read(&mut self.buf[self.to..]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.to += n;
                    return Ok(());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => (),
                Err(e) => return Err(e),
            }
        }
    }

    /// Exactly `n` bytes onto `body`, and none past them out of the socket unless
    /// that saves a read. `wait` is for each read.
    pub fn exactly(&mut self, mut n: usize, body: &mut Vec<u8>, wait: Span) -> Result<()> {
        while n > 0 {
            if self.unread().is_empty() && n >= SMALL {
                self.patience(wait)?;
                let got = self.stream.take(n as u64).read_to_end(body)?;
                return (got == n).then_some(()).ok_or(ErrorKind::UnexpectedEof.into());
            }
            if self.unread().is_empty() {
                self.more(wait)?;
            }
            let k = n.min(self.to - self.from);
            body.extend_from_slice(&self.buf[self.from..self.from + k]);
            self.consume(k);
            n -= k;
        }
        Ok(())
    }
}
