//! Stories of the ring on a real disk.
use runtime::disk_log::{DiskLog, DiskLogError};
use std::fs::OpenOptions;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const SIZE: u64 = 4096;

fn dir(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("lanewing-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

fn open(d: &Path) -> Result<(DiskLog, Vec<String>), DiskLogError> {
    let (r, recs) = DiskLog::open(d, 4, SIZE)?;
    Ok((r, recs.into_iter().map(|b| String::from_utf8_lossy(&b).into_owned()).collect()))
}

fn save(r: &mut DiskLog, s: &str) {
    r.save(s.as_bytes()).unwrap();
    r.sync().unwrap();
}

/// The place of a text in one of the ring's files.
fn find(d: &Path, s: &str) -> (PathBuf, u64) {
    let files = (0..4).map(|i| d.join(format!("ring-{i}")));
    let hit = |p: PathBuf| {
        let b = std::fs::read(&p).unwrap();
        b.windows(s.len()).position(|w| w == s.as_bytes()).map(|i| (p, i as u64))
    };
    files.filter_map(hit).next().expect("it was saved")
}

fn spoil(d: &Path, s: &str) {
    let (p, at) = find(d, s);
    OpenOptions::new().write(true).open(p).unwrap().write_all_at(b"#", at).unwrap();
}

#[test]
fn given_saved_records_when_reopened_then_all_are_there_and_more_can_follow() {
    let d = dir("reopen");
    let (mut r, none) = open(&d).unwrap();
    assert!(none.is_empty());
    r.base(b"base").unwrap();
    (0..100).for_each(|i| save(&mut r, &format!("record {i}")));
    drop(r);
    let (mut r, recs) = open(&d).unwrap();
    assert_eq!(recs.len(), 101);
    save(&mut r, "one more");
    drop(r);
    assert_eq!(open(&d).unwrap().1.last().unwrap(), "one more");
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_bases_now_and_then_when_far_more_is_saved_than_fits_then_the_ring_goes_round() {
    let d = dir("round");
    let (mut r, _) = open(&d).unwrap();
    for b in 0..40 {
        r.base(format!("base {b}").as_bytes()).unwrap();
        (0..150).for_each(|i| save(&mut r, &format!("record {b}.{i}")));
        drop(r);
        let (again, recs) = open(&d).unwrap();
        assert_eq!((recs[0].as_str(), recs.len()), (format!("base {b}").as_str(), 151));
        r = again;
    }
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_last_record_cut_short_when_reopened_then_it_is_dropped_and_the_rest_stands() {
    let d = dir("torn");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    save(&mut r, "first record");
    save(&mut r, "last record");
    drop(r);
    spoil(&d, "last record");
    let (mut r, recs) = open(&d).unwrap();
    assert_eq!(recs, ["base", "first record"]);
    save(&mut r, "next record");
    drop(r);
    assert_eq!(open(&d).unwrap().1, ["base", "first record", "next record"]);
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_damaged_record_with_good_ones_behind_it_then_the_ring_says_so_and_gives_nothing() {
    let d = dir("damaged");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    ["first record", "second record", "third record"].iter().for_each(|s| save(&mut r, s));
    drop(r);
    spoil(&d, "second record");
    assert!(matches!(open(&d), Err(DiskLogError::Damaged { .. })));
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_file_of_the_ring_lost_when_it_is_needed_then_the_ring_says_so() {
    let d = dir("missing");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    (0..250).for_each(|i| save(&mut r, &format!("record {i}")));
    drop(r);
    let (p, _) = find(&d, "record 130");
    std::fs::remove_file(p).unwrap();
    let r = open(&d);
    assert!(matches!(r, Err(DiskLogError::Missing { .. } | DiskLogError::Damaged { .. })));
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_no_base_for_too_long_then_the_ring_refuses_rather_than_overwrites() {
    let d = dir("full");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    let mut n = 0;
    let p = loop {
        match r.save(b"record of some length") {
            Ok(()) => r.sync().unwrap(),
            Err(p) => break p,
        }
        n += 1;
        assert!(n < 10_000);
    };
    assert!(matches!(p, DiskLogError::Full));
    drop(r);
    let (mut r, recs) = open(&d).unwrap();
    assert_eq!(recs.len(), n + 1);
    r.base(b"a shorter one").unwrap();
    save(&mut r, "more");
    drop(r);
    assert_eq!(open(&d).unwrap().1, ["a shorter one", "more"]);
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_ring_made_with_another_size_then_it_is_left_alone() {
    let d = dir("size");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    drop(r);
    assert!(matches!(DiskLog::open(&d, 4, 2 * SIZE), Err(DiskLogError::SizeMismatch { .. })));
    assert_eq!(open(&d).unwrap().1, ["base"]);
    std::fs::remove_dir_all(d).unwrap();
}
