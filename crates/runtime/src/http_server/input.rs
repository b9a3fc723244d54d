//! Buffered input of a connection; the buffer is reused for all its requests.
use crate::front::Reply;
use primitives::Span;
use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// Why reading a request failed.
pub enum ReadError {
    /// The connection is broken: no response can be sent.
    Disconnected,
    /// The caller closed its side before the request was complete.
    UnexpectedEof,
    /// A timeout passed.
    TimedOut,
    /// The request is rejected with this response, the last one on the connection.
    Rejected(Reply),
}

impl From<Error> for ReadError {
    fn from(e: Error) -> ReadError {
        match e.kind() {
            ErrorKind::UnexpectedEof => ReadError::UnexpectedEof,
            ErrorKind::WouldBlock | ErrorKind::TimedOut => ReadError::TimedOut,
            _ => ReadError::Disconnected,
        }
    }
}

impl From<Reply> for ReadError {
    fn from(r: Reply) -> ReadError {
        ReadError::Rejected(r)
    }
}

/// Invariant: `buf[from..to]` was read from the socket and not yet consumed; it precedes all
/// data still in the socket.
pub struct Input<'a> {
    stream: &'a TcpStream,
    buf: Vec<u8>,
    from: usize,
    to: usize,
    /// The socket's current read timeout, so that it is set only when it changes.
    read_timeout: Option<Span>,
}

/// Initial size of the buffer in bytes; it grows for a longer head.
pub const BUFFER_BYTES: usize = 4 << 10;

impl<'a> Input<'a> {
    pub fn new(stream: &'a TcpStream) -> Input<'a> {
        Input { stream, buf: vec![0; BUFFER_BYTES], from: 0, to: 0, read_timeout: None }
    }

    /// Bytes read from the socket and not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.buf[self.from..self.to]
    }

    /// Drops the first `n` unread bytes.
    pub fn consume(&mut self, n: usize) {
        self.from += n;
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
        }
    }

    /// Returns the buffer to its initial size after a long head.
    pub fn shrink(&mut self) {
        if self.buf.len() > BUFFER_BYTES && self.to - self.from <= BUFFER_BYTES {
            let mut buf = vec![0; BUFFER_BYTES];
            buf[..self.to - self.from].copy_from_slice(self.unread());
            (self.buf, self.to, self.from) = (buf, self.to - self.from, 0);
        }
    }

    fn set_timeout(&mut self, timeout: Span) -> Result<()> {
        let timeout = timeout.max(Span::ms(1));
        if self.read_timeout != Some(timeout) {
            self.stream.set_read_timeout(Some(timeout.into()))?;
            self.read_timeout = Some(timeout);
        }
        Ok(())
    }

    /// Reads at least one byte into the buffer, with one successful read from the socket.
    pub fn read_more(&mut self, timeout: Span) -> Result<()> {
        self.set_timeout(timeout)?;
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

    /// Appends exactly `n` bytes to `body`. More than that is taken from the socket only if
    /// it saves a read. `timeout` applies to each read.
    pub fn read_exactly(&mut self, mut n: usize, body: &mut Vec<u8>, timeout: Span) -> Result<()> {
        while n > 0 {
            if self.unread().is_empty() && n >= BUFFER_BYTES {
                self.set_timeout(timeout)?;
                let read = self.stream.take(n as u64).read_to_end(body)?;
                return (read == n).then_some(()).ok_or(ErrorKind::UnexpectedEof.into());
            }
            if self.unread().is_empty() {
                self.read_more(timeout)?;
            }
            let available = n.min(self.to - self.from);
            body.extend_from_slice(&self.buf[self.from..self.from + available]);
            self.consume(available);
            n -= available;
        }
        Ok(())
    }
}
