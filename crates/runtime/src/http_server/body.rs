//! Reads a request's body. A body whose end is ambiguous is rejected.
use super::input::{Input, ReadError};
use super::Limits;
use crate::front::Reply;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::request_parser::{body_too_large, is_token, Body};
use std::sync::Arc;
use std::time::Duration;

/// Capacity in bytes reserved before any byte of an unbudgeted body has arrived.
const INITIAL_CAPACITY: usize = 64 << 10;
/// Maximum number of hexadecimal digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;

fn invalid(why: &str) -> Reply {
    Reply::problem(400, "invalid", why)
}

/// A body and the memory reserved for it, which is released when dropped.
#[derive(Default)]
pub struct ReceivedBody {
    pub bytes: Vec<u8>,
    pub memory: Option<MemoryReservation>,
}

impl ReceivedBody {
    /// Reserves memory for `more` bytes beyond those already read.
    fn reserve(&mut self, more: usize) -> Result<(), Reply> {
        let total = self.bytes.len() + more;
        let fits = self.memory.as_mut().is_none_or(|memory| memory.grow_to(total, Duration::ZERO));
        fits.then_some(()).ok_or_else(no_memory)
    }
}

fn no_memory() -> Reply {
    Reply::problem(503, "denied", "no memory is available for the request body at present").after(1)
}

/// Reads a body with the given framing. With a `budget`, its memory is reserved there first
/// and the request is rejected with 503 if there is none.
pub fn read(
    input: &mut Input,
    framing: Body,
    limits: &Limits,
    budget: Option<&Arc<MemoryBudget>>,
) -> Result<ReceivedBody, ReadError> {
    let memory = budget.and_then(|budget| budget.reserve(0, Duration::ZERO));
    let mut body = ReceivedBody { bytes: vec![], memory };
    match framing {
        Body::None => (),
        Body::Chunked => read_chunked(input, limits, &mut body)?,
        Body::Sized(n) => {
            body.reserve(n)?;
            // A budgeted body is allocated in full: growing it would take up to twice as much.
            let capacity = if body.memory.is_some() { n } else { n.min(INITIAL_CAPACITY) };
            body.bytes.reserve_exact(capacity);
            input.read_exactly(n, &mut body.bytes, limits.send)?;
        }
    }
    Ok(body)
}

fn read_chunked(input: &mut Input, limits: &Limits, body: &mut ReceivedBody) -> Result<(), ReadError> {
    // Ignored bytes (extensions and trailers) are limited to the size of a head.
    let mut overhead_left = limits.heads;
    loop {
        let end = read_line_length(input, MAX_SIZE_DIGITS + overhead_left, overhead_too_large, limits)?;
        let (n, digits) = parse_chunk_size(&input.unread()[..end])?;
        overhead_left = overhead_left.checked_sub(end - digits).ok_or_else(overhead_too_large)?;
        input.consume(end + 2);
        if n == 0 {
            break;
        }
        if n > limits.body - body.bytes.len() {
            return Err(body_too_large(limits.body).reply.into());
        }
        body.reserve(n)?;
        input.read_exactly(n, &mut body.bytes, limits.send)?;
        let end = read_line_length(input, 0, || invalid("a chunk has more data than its size"), limits)?;
        input.consume(end + 2);
    }
    loop {
        let end = read_line_length(input, overhead_left, overhead_too_large, limits)?;
        overhead_left = overhead_left.checked_sub(end).ok_or_else(overhead_too_large)?;
        let name = input.unread()[..end].split(|b| *b == b':').next().unwrap_or_default();
        let valid_name = name.len() < end && std::str::from_utf8(name).is_ok_and(is_token);
        input.consume(end + 2);
        match (end, valid_name) {
            (0, _) => return Ok(()),
            (_, true) => (),
            _ => return Err(invalid("a trailer of the chunked body is not a valid header field").into()),
        }
    }
}

fn overhead_too_large() -> Reply {
    Reply::problem(431, "too large", "the chunk extensions and trailers are too large")
}

/// Reads until the next line is complete and returns its length without the CRLF. A line has
/// no control characters except tabs; one of more than `max` bytes is rejected with
/// `too_long`.
fn read_line_length(
    input: &mut Input,
    max: usize,
    too_long: fn() -> Reply,
    limits: &Limits,
) -> Result<usize, ReadError> {
    let mut seen = 0;
    loop {
        let b = input.unread();
        let control = |c: u8| c != b'\t' && c.is_ascii_control();
        match b[seen..].iter().position(|c| control(*c)).map(|p| seen + p) {
            Some(p) if p > max => return Err(too_long().into()),
            Some(p) if b[p..].starts_with(b"\r\n") => return Ok(p),
            Some(p) if &b[p..] == b"\r" => seen = p,
            Some(_) => return Err(invalid("a line of the chunked body is malformed").into()),
            None if b.len() > max + 1 => return Err(too_long().into()),
            None => seen = b.len(),
        }
        input.read_more(limits.send)?;
    }
}

/// Parses a chunk's size line into the size and its number of digits. Extensions after `;`
/// are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<(usize, usize), Reply> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let valid = matches!(line.get(digits), None | Some(b';')) && (1..=MAX_SIZE_DIGITS).contains(&digits);
    let n = std::str::from_utf8(&line[..digits]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
    n.filter(|_| valid)
        .map(|n| (n, digits))
        .ok_or_else(|| invalid("a chunk's size is not a plain hexadecimal number"))
}
