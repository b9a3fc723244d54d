//! A small HTTP/1.1 client and the reading of messages, as sound callers and servers do it.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its fields with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn line(input: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    let bytes = input.read_line(&mut text).ok()?;
    (bytes > 0 && text.ends_with('\n')).then(|| text.trim_end().to_string())
}

/// Reads one message; `None` if the connection ends before the message is complete.
pub fn read(input: &mut impl BufRead) -> Option<Message> {
    let first = line(input)?;
    let mut fields = vec![];
    loop {
        let text = line(input)?;
        let Some((name, value)) = text.split_once(':') else { break };
        fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut message = Message { first, fields, body: vec![] };
    let bodiless = [204, 304].contains(&message.status());
    let size = message.field("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    message.body = vec![0; if bodiless { 0 } else { size }];
    let mut body = std::mem::take(&mut message.body);
    input.read_exact(&mut body).ok()?;
    Some(Message { body, ..message })
}

/// A request as it is sent.
pub fn request(method: &str, path: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    fields.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    read(&mut BufReader::new(stream))
}
