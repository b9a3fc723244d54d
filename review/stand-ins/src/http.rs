//! A small client for HTTP/1.1, one request a connection.
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub heads: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn head(&self, name: &str) -> Option<&str> {
        self.heads.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub heads: Vec<(&'a str, String)>,
    pub body: Vec<u8>,
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut t = format!("{} {} HTTP/1.1\r\nHost: {}\r\n", self.method, self.path, self.host);
        for (n, v) in &self.heads {
            t += &format!("{n}: {v}\r\n");
        }
        if self.method != "GET" {
            t += &format!("Content-Length: {}\r\n", self.body.len());
        }
        let mut b = (t + "\r\n").into_bytes();
        b.extend(&self.body);
        b
    }
}

/// One request on a connection of its own; an error if no whole answer comes.
pub fn ask(at: SocketAddr, q: &Ask, wait: Duration) -> Result<Answer> {
    let mut s = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    s.set_read_timeout(Some(wait))?;
    s.set_write_timeout(Some(wait))?;
    s.write_all(&q.bytes())?;
    answer(&mut s, q.method == "HEAD")
}

fn broken(why: &str) -> Error {
    Error::new(ErrorKind::InvalidData, why)
}

pub fn answer(s: &mut TcpStream, bare: bool) -> Result<Answer> {
    let mut got = vec![];
    let mut buf = [0; 16 << 10];
    let end = loop {
        if let Some(p) = got.windows(4).position(|x| x == b"\r\n\r\n") {
            break p + 4;
        }
        match s.read(&mut buf)? {
            0 => return Err(broken("ended before an answer")),
            n => got.extend(&buf[..n]),
        }
    };
    let head = String::from_utf8_lossy(&got[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|n| n.parse().ok());
    let heads: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
        .collect();
    let mut a = Answer { status: status.ok_or_else(|| broken("no status"))?, heads, body: vec![] };
    let length = a.head("content-length").and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
    let length = if bare || [204, 304].contains(&a.status) { 0 } else { length };
    a.body = got[end..].to_vec();
    while a.body.len() < length {
        match s.read(&mut buf)? {
            0 => return Err(broken("ended within an answer")),
            n => a.body.extend(&buf[..n]),
        }
    }
    a.body.truncate(length);
    Ok(a)
}
