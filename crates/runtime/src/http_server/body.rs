//! Reading a request's body, whose end is beyond doubt or which is denied.
use super::input::{Input, Stop};
use super::Limits;
use crate::front::Reply;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::request_parser::{large, token, Body};
use std::sync::Arc;
use std::time::Duration;

/// Set aside before anything of a body has come.
const AHEAD: usize = 64 << 10;
/// Digits of a chunk's size.
const DIGITS: usize = 8;

fn bad(why: &str) -> Reply {
    Reply::problem(400, "invalid", why)
}

/// A body, and the memory set aside for it: given back when dropped.
#[derive(Default)]
pub struct Held {
    pub bytes: Vec<u8>,
    pub memory: Option<MemoryReservation>,
}

impl Held {
    /// So much more is to come.
    fn reach(&mut self, more: usize) -> Result<(), Reply> {
        let all = self.bytes.len() + more;
        let fits = self.memory.as_mut().is_none_or(|memory| memory.reach(all, Duration::ZERO));
        fits.then_some(()).ok_or_else(no_room)
    }
}

fn no_room() -> Reply {
    Reply::problem(503, "denied", "no room for the body now").after(1)
}

pub fn read(i: &mut Input, framed: Body, l: &Limits, room: Option<&Arc<MemoryBudget>>) -> Result<Held, Stop> {
    let memory = room.and_then(|room| room.take(0, Duration::ZERO));
    let mut body = Held { bytes: vec![], memory };
    match framed {
        Body::None => (),
        Body::Chunked => chunks(i, l, &mut body)?,
        Body::Sized(n) => {
            body.reach(n)?;
            // What is counted is set aside whole: growing would take up to twice as much.
            let ahead = if body.memory.is_some() { n } else { n.min(AHEAD) };
            body.bytes.reserve_exact(ahead);
            i.exactly(n, &mut body.bytes, l.send)?;
        }
    }
    Ok(body)
}

fn chunks(i: &mut Input, l: &Limits, body: &mut Held) -> Result<(), Stop> {
    // Of what is ignored, there may be as much as of a head.
    let mut spare = l.heads;
    loop {
        let end = line(i, DIGITS + spare, wordy, l)?;
        let (n, digits) = size(&i.unread()[..end])?;
        spare = spare.checked_sub(end - digits).ok_or_else(wordy)?;
        i.consume(end + 2);
        if n == 0 {
            break;
        }
        if n > l.body - body.bytes.len() {
            return Err(large(l.body).reply.into());
        }
        body.reach(n)?;
        i.exactly(n, &mut body.bytes, l.send)?;
        let end = line(i, 0, || bad("a chunk is longer than its size"), l)?;
        i.consume(end + 2);
    }
    loop {
        let end = line(i, spare, wordy, l)?;
        spare = spare.checked_sub(end).ok_or_else(wordy)?;
        let name = i.unread()[..end].split(|b| *b == b':').next().unwrap_or_default();
        let named = name.len() < end && std::str::from_utf8(name).is_ok_and(token);
        i.consume(end + 2);
        match (end, named) {
            (0, _) => return Ok(()),
            (_, true) => (),
            _ => return Err(bad("a trailer is not a header").into()),
        }
    }
}

fn wordy() -> Reply {
    Reply::problem(431, "too large", "too much beside the chunks of a body")
}

/// The length of the line that comes next, which has no control characters before
/// its CRLF; `over` if it has more than `most` bytes.
fn line(i: &mut Input, most: usize, over: fn() -> Reply, l: &Limits) -> Result<usize, Stop> {
    let mut seen = 0;
    loop {
        let b = i.unread();
        let odd = |c: u8| c != b'\t' && c.is_ascii_control();
        match b[seen..].iter().position(|c| odd(*c)).map(|p| seen + p) {
            Some(p) if p > most => return Err(over().into()),
            Some(p) if b[p..].starts_with(b"\r\n") => return Ok(p),
            Some(p) if &b[p..] == b"\r" => seen = p,
            Some(_) => return Err(bad("a line of a chunked body is malformed").into()),
            None if b.len() > most + 1 => return Err(over().into()),
            None => seen = b.len(),
        }
        i.more(l.send)?;
    }
}

/// A chunk's size and how many digits it has; what follows a `;` is ignored.
fn size(line: &[u8]) -> Result<(usize, usize), Reply> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let ends = matches!(line.get(digits), None | Some(b';')) && (1..=DIGITS).contains(&digits);
    let n = std::str::from_utf8(&line[..digits]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
    n.filter(|_| ends).map(|n| (n, digits)).ok_or_else(|| bad("a chunk's size is not plain"))
}
