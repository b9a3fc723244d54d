//! A disk that is full for a while.
use runtime::full_disk::retry_while_full;
use std::fs::OpenOptions;
use std::io::{Error, ErrorKind};
use std::os::unix::fs::FileExt;

#[test]
fn given_a_disk_that_is_full_for_a_while_then_the_write_is_done_again_until_it_is_not() {
    // The kernel's own word for it comes from this device.
    let full = OpenOptions::new().write(true).open("/dev/full").expect("there on every Linux");
    let (mut tries, mut pauses) = (0, 0);
    let write = || {
        tries += 1;
        if tries <= 3 {
            full.write_all_at(b"a record", 0)
        } else {
            Ok(())
        }
    };
    retry_while_full(write, || pauses += 1).expect("the disk has room again");
    assert_eq!((tries, pauses), (4, 3));
}

#[test]
fn given_any_other_failure_of_a_disk_then_it_is_told_at_once() {
    for kind in [ErrorKind::Other, ErrorKind::PermissionDenied, ErrorKind::UnexpectedEof] {
        let mut tries = 0;
        let write = || {
            tries += 1;
            Err(Error::from(kind))
        };
        let failed = retry_while_full(write, || panic!("it waits"));
        assert_eq!((failed.expect_err("fails").kind(), tries), (kind, 1));
    }
}
