//! Streams of frames with random damage, from fixed seeds: whatever is read was sent, and
//! nothing panics.
use control_state::*;
use fastrand::Rng;
use primitives::{Addr, Birth, Mono, NodeId};
use runtime::frame::{decode, frame, read_frame, FrameError, VERSION};
use runtime::net::{listen, Counts, Handshake, LinkClass};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn message(r: &mut Rng, n: u64) -> Msg {
    let ask = RequestId { birth: Birth(r.u64(..)), n };
    let round = RoundId { node: NodeId(r.u64(..9)), birth: ask.birth, n };
    let whole = Whole::new(200, "text/plain", vec![r.u8(..); r.usize(..300)]);
    match r.usize(..6) {
        0 => Msg::CopyPending(ask),
        1 => Msg::CopyResult { ask, said: CopyReply::Own(Box::new(whole)), purges: 0 },
        2 => Msg::DiskCacheWant { ask, at: Mono(r.u64(..)) },
        3 => Msg::Claimed { key: "h/k".into(), round, said: Claimed::Held(Some(whole)) },
        4 => Msg::CallAnswered(ask, Box::new(CallAnswer::Acknowledged)),
        _ => Msg::Outcome { key: "h/k".into(), print: Fingerprint([r.u8(..); 32]), round, whole },
    }
}

fn encoded(m: &Msg) -> Vec<u8> {
    frame(&postcard::to_stdvec(m).expect("encodes"))
}

/// Bits, bytes and whole frames are changed, left out, repeated, exchanged or cut off.
fn damage(frames: &mut Vec<Vec<u8>>, r: &mut Rng) {
    let i = r.usize(..frames.len());
    let j = r.usize(..frames.len());
    let at = r.usize(..frames[i].len().max(1));
    if frames[i].is_empty() {
        return;
    }
    match r.usize(..8) {
        0 => frames[i][at] ^= 1 << r.u32(..8),
        1 => drop(frames[i].remove(at)),
        2 => frames[i].insert(at, r.u8(..)),
        3 => frames[i].truncate(at.max(1)),
        4 => set(&mut frames[i], 2, r.u8(..)),
        5 => frames.insert(j, frames[i].clone()),
        6 => frames.swap(i, j),
        _ => set(&mut frames[i], 3, r.u8(..)),
    }
}

/// A frame may be shorter by now.
fn set(frame: &mut [u8], at: usize, b: u8) {
    frame.get_mut(at).into_iter().for_each(|x| *x = b);
}

/// All messages up to the first frame that is not right, and what was wrong with it.
fn read(mut stream: &[u8]) -> (Vec<Msg>, FrameError) {
    let mut all = vec![];
    loop {
        match read_frame(&mut stream).and_then(|b| decode::<Msg>(&b)) {
            Ok(m) => all.push(m),
            Err(p) => return (all, p),
        }
    }
}

#[test]
fn given_damaged_streams_of_frames_then_only_messages_that_were_sent_are_read() {
    let mut r = Rng::with_seed(0xf4a3);
    let (mut whole, mut refused, mut versions) = (0, 0, 0);
    for case in 0..20_000 {
        let sent: Vec<Msg> = (0..r.u64(1..6)).map(|n| message(&mut r, n)).collect();
        let mut frames: Vec<Vec<u8>> = sent.iter().map(encoded).collect();
        (0..r.usize(..4)).for_each(|_| damage(&mut frames, &mut r));
        let (got, p) = read(&frames.concat());
        assert!(got.iter().all(|m| sent.contains(m)), "case {case}: a message that was never sent");
        whole += (got.len() >= sent.len()) as u32;
        refused += !matches!(p, FrameError::Connection { .. }) as u32;
        versions += matches!(p, FrameError::VersionMismatch { .. }) as u32;
    }
    println!("20000 streams: {whole} read to their end, {refused} refused, {versions} of these by version");
    assert!(whole > 4000 && refused > 4000 && versions > 1000);
}

#[test]
fn given_random_bytes_under_a_good_checksum_then_what_decodes_says_the_same_when_encoded_again() {
    let mut r = Rng::with_seed(0xdec0);
    let mut decoded = 0;
    for _ in 0..50_000 {
        let mut b = postcard::to_stdvec(&message(&mut r, 1)).expect("encodes");
        let (at, extra) = (r.usize(..b.len()), r.usize(..3));
        match r.usize(..3) {
            0 => b[at] = r.u8(..),
            1 => b.truncate(at),
            _ => b.extend((0..extra).map(|_| r.u8(..))),
        }
        if let Ok(m) = decode::<Msg>(&b) {
            decoded += 1;
            let again = postcard::to_stdvec(&m).expect("encodes");
            assert_eq!(decode::<Msg>(&again).expect("decodes"), m);
            assert!(b.len() >= again.len() && b.len() <= again.len() + 10, "{} bytes beside it", b.len());
        }
    }
    assert!(decoded > 5000, "{decoded}");
}

#[test]
fn given_a_message_with_bytes_after_it_then_it_is_garbled() {
    let mut b = postcard::to_stdvec(&Msg::CopyPending(RequestId { birth: Birth(1), n: 2 })).expect("encodes");
    assert!(decode::<Msg>(&b).is_ok());
    b.push(0);
    assert!(matches!(decode::<Msg>(&b), Err(FrameError::CorruptFrame)));
}

/// Keeps what is logged.
struct Lines(Arc<Mutex<Vec<String>>>);

impl slog::Drain for Lines {
    type Ok = ();
    type Err = slog::Never;
    fn log(&self, record: &slog::Record, values: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let mut problem = Problem(String::new());
        let _ = slog::KV::serialize(&record.kv(), record, &mut problem);
        let _ = values;
        self.0.lock().expect("sound").push(format!("{}: {}", record.msg(), problem.0));
        Ok(())
    }
}

struct Problem(String);

impl slog::Serializer for Problem {
    fn emit_arguments(&mut self, _: slog::Key, v: &std::fmt::Arguments) -> slog::Result {
        self.0 = v.to_string();
        Ok(())
    }
}

#[test]
fn given_links_of_another_version_then_each_is_refused_and_counted_and_the_first_is_named() {
    let l = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let at = l.local_addr().expect("bound");
    let (counts, lines) = (Arc::new(Counts::default()), Arc::new(Mutex::new(vec![])));
    counts.log.set(slog::Logger::root(Lines(lines.clone()), slog::o!())).expect("not set yet");
    let (tx, taken) = channel();
    listen(l, counts.clone(), move |_, m| tx.send(m).is_ok());
    let handshake = Handshake { from: Addr(at), class: LinkClass::Ordinary };
    let hello = frame(&postcard::to_stdvec(&handshake).expect("encodes"));
    let good = encoded(&Msg::CopyPending(RequestId { birth: Birth(1), n: 2 }));
    for version in [VERSION - 1, VERSION + 1, VERSION - 1] {
        let mut old = good.clone();
        old[2] = version;
        let mut s = TcpStream::connect(at).expect("listens");
        s.write_all(&[hello.clone(), old, good.clone()].concat()).expect("sent");
        let _ = s.shutdown(Shutdown::Write);
    }
    while counts.bad_frames.load(SeqCst) < 3 {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(counts.other_versions.load(SeqCst), 3);
    assert!(taken.try_recv().is_err(), "what follows on such a link is not read");
    let lines = lines.lock().expect("sound").clone();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let both = format!("frame of version {}, this node speaks {VERSION}", VERSION - 1);
    assert!(lines[0].contains(&both), "{lines:?}");
}
