//! Stories of frames that are not right: the connection closes, a counter
//! rises, nobody panics.
use runtime::net::{frame, listen, read_frame, Counts, FrameError};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;

fn read(b: &[u8]) -> Result<Vec<u8>, FrameError> {
    read_frame(&mut &b[..])
}

#[test]
fn given_frames_alien_of_another_version_too_large_or_garbled_then_each_is_told_apart() {
    let good = frame(b"hello");
    assert_eq!(read(&good).unwrap(), b"hello");
    let with = |i: usize, b: u8| {
        let mut f = good.clone();
        f[i] = b;
        read(&f)
    };
    assert!(matches!(with(0, b'X'), Err(FrameError::BadMagic)));
    assert!(matches!(with(2, 99), Err(FrameError::VersionMismatch { version: 99 })));
    assert!(matches!(with(6, 0x7f), Err(FrameError::TooLarge { .. })));
    assert!(matches!(with(12, b'X'), Err(FrameError::CorruptFrame)));
    assert!(matches!(read(&good[..9]), Err(FrameError::Connection { .. })));
}

#[test]
fn given_a_connection_that_sends_rubbish_then_it_is_closed_and_counted_and_others_go_on() {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = l.local_addr().unwrap();
    let counts = Arc::new(Counts::default());
    listen(l, counts.clone(), |_, _| true);
    for rubbish in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &frame(b"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")]
    {
        let mut s = TcpStream::connect(at).unwrap();
        s.write_all(rubbish).unwrap();
        // Closed by the other side: nothing to read but the end, or a reset.
        let end = s.read(&mut [0; 8]);
        assert!(matches!(end, Ok(0) | Err(_)));
    }
    // The counter rises just after the close; the next connection still works.
    let bad = || counts.bad_frames.load(Ordering::SeqCst);
    while bad() < 2 {
        std::thread::yield_now();
    }
    assert!(TcpStream::connect(at).is_ok());
}
