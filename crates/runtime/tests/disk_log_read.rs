//! Entries of an open log that are read back from its files, and messages that wait for them.
mod peers;
use control_state::*;
use peers::Peer;
use primitives::{Addr, Mono};
use runtime::disk_log::DiskLog;
use runtime::net::{Counts, Net};
use runtime::shell::{self, append_entries, read_entries, Frame, Handle};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const FILES: usize = 12;
const SIZE: u64 = 4096;
const WAIT: Duration = Duration::from_secs(10);

fn dir(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("lanewing-read-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

fn open(d: &Path) -> (DiskLog, Vec<Vec<u8>>) {
    let (mut log, records) = DiskLog::open_trimmable(d, FILES, SIZE).expect("the log opens");
    let entries = read_entries(&mut log, records).expect("entries decode");
    (log, entries)
}

// Guards against an entry that is taken for another one, over laps of the files, chunks and restarts.
#[test]
fn given_entries_of_any_size_over_many_laps_and_openings_then_each_that_is_needed_reads_back() {
    let d = dir("laps");
    let mut rng = fastrand::Rng::with_seed(49);
    let (mut log, mut entries) = open(&d);
    let mut trimmed = 0;
    for _ in 0..800 {
        let length = if rng.u8(0..8) == 0 { rng.usize(600..1200) } else { rng.usize(0..200) };
        let batch: Vec<Vec<u8>> =
            (0..rng.usize(1..4)).map(|_| (0..length).map(|_| rng.u8(..)).collect()).collect();
        entries.extend(batch.clone());
        trimmed = trimmed.max(entries.len().saturating_sub(rng.usize(10..20)));
        append_entries(&mut log, batch, Some(trimmed as u64)).expect("there is room");
        let mut numbers: Vec<u64> = (trimmed as u64..entries.len() as u64).collect();
        rng.shuffle(&mut numbers);
        let expected: Vec<_> = numbers.iter().map(|n| Some(entries[*n as usize].clone())).collect();
        assert_eq!(log.entries_at(&numbers), expected);
        assert_eq!(log.entries_at(&[entries.len() as u64]), [None]);
        if rng.u8(0..20) == 0 {
            // The numbers begin anew.
            (log, entries) = open(&d);
            trimmed = 0;
        }
    }
    std::fs::remove_dir_all(d).expect("removed");
}

/// Saves an entry and sends it, read back from the log, with each request.
struct Reader {
    peer: Addr,
    saved: u64,
}

fn claimed(said: Claimed) -> Msg {
    let round = RoundId { node: primitives::NodeId(1), birth: primitives::Birth(1), n: 1 };
    Msg::Claimed { key: "k".into(), round, said }
}

impl Part for Reader {
    fn step(&mut self, _: Mono, input: In, out: &mut Vec<Out>) {
        match input {
            In::Ask(token, _) => {
                let body = self.saved.to_string().into_bytes();
                out.push(Out::Save(postcard::to_stdvec(&Whole::new(200, "", body)).expect("encodes")));
                let missing = vec![MissingOutcome { position: 0, log_record: self.saved, holders: vec![] }];
                let message = claimed(Claimed::Held(None));
                out.push(Out::Read(Box::new(StoredMessage { to: self.peer, message, missing })));
                out.push(Out::Tell(token, NodeReply::Health(Health::default())));
                self.saved += 1;
            }
            In::Read(stored, records) => {
                let whole = records[0].as_ref().and_then(|record| postcard::from_bytes(record).ok());
                out.push(Out::Send(stored.to, claimed(Claimed::Held(whole))));
            }
            _ => (),
        }
    }
}

fn start(peer: Addr, d: &Path) -> Handle {
    let (tx, rx) = channel();
    let (ring, counts) = (open(d).0, Arc::new(Counts::default()));
    thread::spawn(move || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let me = Addr(listener.local_addr().expect("bound"));
        let net = Net::new(me, Arc::new(|_: &Addr| Duration::ZERO), counts.clone());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let part = Box::new(Reader { peer, saved: 0 });
        let frame = Frame { part, first: vec![], ring: Some(ring), net, rounds: None, log };
        shell::run(frame, listener, counts, move |handle| tx.send(handle).expect("the test waits"));
    });
    rx.recv_timeout(WAIT).expect("it starts")
}

#[test]
fn given_a_message_that_lacks_what_was_just_saved_then_it_is_sent_with_what_the_disk_holds() {
    let d = dir("shell");
    let mut peer = Peer::new();
    let handle = start(peer.at(), &d);
    for n in 0..5 {
        assert!(handle.ask(Ask::Ready, WAIT).is_some());
        if n == 0 {
            peer.accept();
        }
        let Msg::Claimed { said: Claimed::Held(Some(whole)), .. } = peer.read() else {
            panic!("no outcome in message {n}")
        };
        assert_eq!(*whole.body, n.to_string().into_bytes());
    }
    handle.stop();
    std::fs::remove_dir_all(d).expect("removed");
}
