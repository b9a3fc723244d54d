//! A sound origin: it beats, seals its answers, gives the request's id back, answers 421 to requests for
//! another instance, and does with each other request what its plan says.
use crate::http::{self, Message};
use crate::record::Record;
use crate::words::Words;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(1500);
const BEAT_WAIT: Duration = Duration::from_secs(1);

/// What an origin does with a request that it runs.
pub enum Deed {
    /// Works for this long and answers.
    Answer { work: Duration, status: &'static str, fields: Vec<(&'static str, String)>, body: Vec<u8> },
    /// Works for this long and answers with success, whole; the answer has no length and ends with its
    /// connection.
    AnswerToTheEnd { work: Duration, body: Vec<u8> },
    /// Works for this long; the answer is lost and the connection ends.
    Lose { work: Duration },
}

/// Decides what is done with a request; its second argument is the number of the run at this origin.
pub type Plan = dyn Fn(&Message, u64) -> Deed + Send + Sync;

pub struct Origin {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub capacity: u32,
}

impl Origin {
    /// Starts to listen and to beat; its threads end with the process.
    pub fn start(self, words: &Arc<Words>, controls: &[SocketAddr], record: &Arc<Record>, plan: Arc<Plan>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let at = listener.local_addr().expect("it is bound");
        let (origin, runs) = (Arc::new(self), Arc::new(std::sync::atomic::AtomicU64::new(0)));
        let (beating, spoken, to) = (origin.clone(), words.clone(), controls.to_vec());
        thread::spawn(move || beating.beat(&spoken, at, &to));
        let (words, record) = (words.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (origin, words, record) = (origin.clone(), words.clone(), record.clone());
                let (plan, runs) = (plan.clone(), runs.clone());
                thread::spawn(move || {
                    let run = || runs.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 1;
                    origin.serve(&words, &record, &*plan, stream, run)
                });
            }
        });
    }

    fn beat(&self, words: &Words, at: SocketAddr, controls: &[SocketAddr]) {
        let path = format!("/{}/{}/{}", words.instances_path(), self.id, words.beat());
        let state = words.field(19).replace('-', "_");
        for sequence in 1u64.. {
            let Origin { service, zone, capacity, .. } = self;
            let body = format!(
                "{{\"address\":\"{at}\",\"information\":{{\"service\":\"{service}\",\"version\":\"v1\",\
                 \"zone\":\"{zone}\",\"capacity\":{capacity}}},\"status\":{{\"state\":\"{state}\",\
                 \"sequence\":{sequence},\"{}\":0}}}}",
                words.field(18)
            );
            for offset in 0..controls.len() {
                let to = controls[(sequence as usize + offset) % controls.len()];
                let fields = [("Host", to.to_string()), ("Content-Type", "application/json".into())];
                let request = http::request("POST", &path, &fields, body.as_bytes());
                if http::call(to, &request, BEAT_WAIT).is_some_and(|a| a.status() == 200) {
                    break;
                }
            }
            sleep(BEAT);
        }
    }

    fn serve(
        &self,
        words: &Words,
        record: &Record,
        plan: &Plan,
        mut stream: TcpStream,
        run: impl Fn() -> u64,
    ) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let request = http::read(&mut BufReader::new(stream.try_clone().ok()?))?;
        let id = request.field(words.request_id()).unwrap_or("").to_string();
        if request.first.starts_with("GET /health ") {
            let answer =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return stream.write_all(answer.as_bytes()).ok();
        }
        if request.field(words.target()).is_some_and(|t| t != self.id) {
            let head = "HTTP/1.1 421 Misdirected Request";
            let answer = format!(
                "{head}\r\n{}: {id}\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
                words.request_id(),
                words.not_run()
            );
            return stream.write_all(answer.as_bytes()).ok();
        }
        let number = run();
        let key = request.field(words.key()).map(|k| format!(" key {k}")).unwrap_or_default();
        record.note(format!("origin {} runs {id}{key}: {}", self.id, request.first));
        match plan(&request, number) {
            Deed::Lose { work } => {
                sleep(work);
                record.note(format!("origin {} loses the answer to {id}", self.id));
                None
            }
            Deed::AnswerToTheEnd { work, body } => {
                sleep(work);
                let mut head = format!("HTTP/1.1 200 OK\r\n{}: {id}\r\n", words.request_id());
                head += &format!("{}: {}.{number}\r\nConnection: close\r\n\r\n", words.seal(), self.id);
                record.note(format!(
                    "origin {} answers {id} without a length, {} bytes",
                    self.id,
                    body.len()
                ));
                stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
                stream.shutdown(std::net::Shutdown::Write).ok()?;
                // Nothing is left unread, so that closing does not reset the connection.
                std::io::copy(&mut stream, &mut std::io::sink()).ok().map(|_| ())
            }
            Deed::Answer { work, status, fields, body } => {
                sleep(work);
                let mut head = format!("HTTP/1.1 {status}\r\n{}: {id}\r\n", words.request_id());
                head += &format!("{}: {}.{number}\r\n", words.seal(), self.id);
                fields.iter().for_each(|(name, value)| head += &format!("{name}: {value}\r\n"));
                head += &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
                record.note(format!("origin {} answers {id}: {status}, {} bytes", self.id, body.len()));
                stream.write_all(&[head.as_bytes(), &body].concat()).ok()
            }
        }
    }
}

/// The content of an object: the same at every origin.
pub fn content(path: &str, size: usize) -> Vec<u8> {
    let seed = path.bytes().fold(7u32, |s, b| s.wrapping_mul(31).wrapping_add(b as u32));
    (0..size as u32)
        .map(|i| b'a' + (seed.wrapping_add(i / 7).wrapping_mul(2_654_435_761) >> 27) as u8 % 26)
        .collect()
}

/// Answers a read of an object: the whole, or the single range asked for by its first byte.
pub fn read_object(request: &Message, size: usize, work: Duration) -> Deed {
    let path = request.first.split(' ').nth(1).unwrap_or("/").to_string();
    let whole = content(&path, size);
    let tag = ("ETag", format!("\"{}-1\"", path.len()));
    let from = request.field("range").and_then(|r| r.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok());
    match from {
        Some(from) if from < size => {
            let range = ("Content-Range", format!("bytes {from}-{}/{size}", size - 1));
            let body = whole[from..].to_vec();
            Deed::Answer { work, status: "206 Partial Content", fields: vec![tag, range], body }
        }
        _ => Deed::Answer { work, status: "200 OK", fields: vec![tag], body: whole },
    }
}
