//! Reading a request's body, whose end is beyond doubt or which is denied.
use super::input::{Input, Stop};
use super::Limits;
use crate::front::Reply;
use crate::intake::{large, token, Body};

/// Set aside before anything of a body has come.
const AHEAD: usize = 64 << 10;
/// Digits of a chunk's size.
const DIGITS: usize = 8;

fn bad(why: &str) -> Reply {
    Reply::problem(400, "invalid", why)
}

pub fn read(i: &mut Input, framed: Body, l: &Limits) -> Result<Vec<u8>, Stop> {
    let n = match framed {
        Body::None => return Ok(vec![]),
        Body::Chunked => return chunks(i, l),
        Body::Sized(n) => n,
    };
    let mut body = Vec::with_capacity(n.min(AHEAD));
    i.exactly(n, &mut body, l.send)?;
    Ok(body)
}

fn chunks(i: &mut Input, l: &Limits) -> Result<Vec<u8>, Stop> {
    // Of what is ignored, there may be as much as of a head.
    let (mut body, mut spare) = (vec![], l.heads);
    loop {
        let end = line(i, DIGITS + spare, wordy, l)?;
        let (n, digits) = size(&i.unread()[..end])?;
        spare = spare.checked_sub(end - digits).ok_or_else(wordy)?;
        i.eat(end + 2);
        if n == 0 {
            break;
        }
        if n > l.body - body.len() {
            return Err(large(l.body).reply.into());
        }
        i.exactly(n, &mut body, l.send)?;
        let end = line(i, 0, || bad("a chunk is longer than its size"), l)?;
        i.eat(end + 2);
    }
    loop {
        let end = line(i, spare, wordy, l)?;
        spare = spare.checked_sub(end).ok_or_else(wordy)?;
        let name = i.unread()[..end].split(|b| *b == b':').next().unwrap_or_default();
        let named = name.len() < end && std::str::from_utf8(name).is_ok_and(token);
        i.eat(end + 2);
        match (end, named) {
            (0, _) => return Ok(body),
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
