//! Stories of the ring on a disk that loses, tears or mixes up files, and of records
//! larger than one file.
use runtime::disk_log::{DiskLog, DiskLogError};
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const SIZE: u64 = 4096;
const FILES: usize = 4;

fn folder(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("lanewing-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

fn open(d: &Path) -> Result<(DiskLog, Vec<Vec<u8>>), DiskLogError> {
    DiskLog::open(d, FILES, SIZE)
}

fn path(d: &Path, file: usize) -> PathBuf {
    d.join(format!("ring-{file}"))
}

/// All bytes of the ring's files.
fn files(d: &Path) -> Vec<Vec<u8>> {
    (0..FILES).map(|i| std::fs::read(path(d, i)).unwrap()).collect()
}

fn restore(d: &Path, files: &[Vec<u8>]) {
    files.iter().enumerate().for_each(|(i, b)| std::fs::write(path(d, i), b).unwrap());
}

/// Bytes that tell one record from another and one place from the next.
fn large(seed: u8, length: usize) -> Vec<u8> {
    (0..length).map(|i| (i as u8).wrapping_mul(31).wrapping_add(seed)).collect()
}

fn save(r: &mut DiskLog, data: &[u8]) {
    r.save(data).unwrap();
    r.sync().unwrap();
}

#[test]
fn given_a_base_larger_than_a_file_when_reopened_then_it_is_whole_and_the_ring_goes_round() {
    let d = folder("large-base");
    let (mut r, _) = open(&d).unwrap();
    for lap in 0..12u8 {
        let base = large(lap, 5000);
        r.base(&base).unwrap();
        save(&mut r, &[lap; 40]);
        drop(r);
        let (again, records) = open(&d).unwrap();
        assert_eq!(records, [base, vec![lap; 40]], "lap {lap}");
        r = again;
    }
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_plain_record_larger_than_a_file_when_reopened_then_it_is_whole() {
    let d = folder("large-plain");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    save(&mut r, &large(1, 6000));
    save(&mut r, b"after");
    drop(r);
    assert_eq!(open(&d).unwrap().1, [b"base".to_vec(), large(1, 6000), b"after".to_vec()]);
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_record_that_no_file_count_holds_then_it_is_refused_and_nothing_is_lost() {
    let d = folder("too-large");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    save(&mut r, b"kept");
    let before = files(&d);
    assert!(matches!(r.base(&large(2, 20_000)), Err(DiskLogError::TooLarge { .. })));
    assert!(matches!(r.save(&large(2, 20_000)), Err(DiskLogError::TooLarge { .. })));
    (0..160).for_each(|i| save(&mut r, &[i; 40]));
    let full = files(&d);
    // Two files are needed and fewer are free.
    assert!(matches!(r.base(&large(3, 5000)), Err(DiskLogError::Full)));
    assert!(full == files(&d) && before != full);
    drop(r);
    assert_eq!(open(&d).unwrap().1.len(), 162);
    std::fs::remove_dir_all(d).unwrap();
}

/// All states that a stop may leave in the midst of a write from `before` to `after`:
/// the writes go file by file in order of segments, each cut at any of many places.
fn cut_short(before: &[Vec<u8>], after: &[Vec<u8>], order: &[usize]) -> Vec<Vec<Vec<u8>>> {
    let mut states = vec![];
    let mut now = before.to_vec();
    for file in order {
        for at in (0..SIZE as usize).step_by(97) {
            let mut torn = now.clone();
            torn[*file][..at].copy_from_slice(&after[*file][..at]);
            states.push(torn);
        }
        now[*file] = after[*file].clone();
    }
    states
}

#[test]
fn given_a_stop_anywhere_in_a_large_base_then_the_old_state_stands_and_another_base_fits() {
    let d = folder("base-cut-short");
    let (mut r, _) = open(&d).unwrap();
    r.base(&large(1, 5000)).unwrap();
    save(&mut r, b"kept");
    let before = files(&d);
    r.base(&large(2, 5000)).unwrap();
    let after = files(&d);
    drop(r);
    // The old state's last segment gets its seal, then two more follow.
    let states = cut_short(&before, &after, &[2, 3, 0]);
    for (n, state) in states.iter().enumerate() {
        restore(&d, state);
        let (mut r, records) = open(&d).unwrap_or_else(|p| panic!("state {n}: {p}"));
        let old = records == [large(1, 5000), b"kept".to_vec()];
        let new = records == [large(2, 5000)];
        assert!(old || new, "state {n}: {} records", records.len());
        r.base(&large(3, 5000)).unwrap_or_else(|p| panic!("state {n}: {p}"));
        save(&mut r, b"more");
        drop(r);
        assert_eq!(open(&d).unwrap().1, [large(3, 5000), b"more".to_vec()], "state {n}");
    }
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_stop_anywhere_in_the_first_base_of_all_then_the_ring_is_empty_or_has_it() {
    let d = folder("first-cut-short");
    let (mut r, _) = open(&d).unwrap();
    let before = files(&d);
    r.base(&large(1, 5000)).unwrap();
    let after = files(&d);
    drop(r);
    for (n, state) in cut_short(&before, &after, &[1, 2]).iter().enumerate() {
        restore(&d, state);
        let (mut r, records) = open(&d).unwrap_or_else(|p| panic!("state {n}: {p}"));
        assert!(records.is_empty() || records == [large(1, 5000)], "state {n}");
        r.base(&large(2, 3000)).unwrap();
        drop(r);
        assert_eq!(open(&d).unwrap().1, [large(2, 3000)], "state {n}");
    }
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_piece_of_a_large_base_spoiled_then_the_ring_says_so() {
    let d = folder("piece-spoiled");
    let (mut r, _) = open(&d).unwrap();
    r.base(&large(1, 5000)).unwrap();
    save(&mut r, b"kept");
    drop(r);
    OpenOptions::new().write(true).open(path(&d, 1)).unwrap().write_all_at(&[1, 2, 3], 1000).unwrap();
    assert!(matches!(open(&d), Err(DiskLogError::Damaged { .. })));
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_ring_half_made_then_it_is_completed_and_empty() {
    let d = folder("half-made");
    drop(open(&d).unwrap());
    std::fs::remove_file(path(&d, 2)).unwrap();
    std::fs::remove_file(path(&d, 0)).unwrap();
    File::create(d.join("ring-2.new")).unwrap().write_all_at(b"part", 100).unwrap();
    let (mut r, records) = open(&d).unwrap();
    assert!(records.is_empty());
    r.base(b"base").unwrap();
    drop(r);
    assert_eq!(open(&d).unwrap().1, [b"base".to_vec()]);
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_any_file_lost_from_a_ring_with_data_then_the_ring_says_so_and_makes_none_anew() {
    let d = folder("any-lost");
    for records in [0, 90] {
        for file in 0..FILES {
            let _ = std::fs::remove_dir_all(&d);
            let (mut r, _) = open(&d).unwrap();
            r.base(b"base").unwrap();
            (0..records).for_each(|i| save(&mut r, &[i; 40]));
            drop(r);
            // What the first segment's file alone knows goes with it.
            if records == 0 && file == 1 {
                continue;
            }
            std::fs::remove_file(path(&d, file)).unwrap();
            assert!(matches!(open(&d), Err(DiskLogError::Missing { .. })), "file {file}, {records} records");
            assert!(!path(&d, file).exists());
        }
    }
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_two_files_in_one_anothers_places_then_the_ring_says_so() {
    let d = folder("mixed-up");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    (0..90).for_each(|i| save(&mut r, &[i; 40]));
    drop(r);
    let all = files(&d);
    for (a, b) in [(1, 2), (1, 3), (2, 3)] {
        let mut mixed = all.clone();
        mixed.swap(a, b);
        restore(&d, &mixed);
        assert!(open(&d).is_err(), "{a} and {b}");
    }
    std::fs::remove_dir_all(d).unwrap();
}

#[test]
fn given_a_spoiled_head_before_good_records_then_the_ring_is_not_taken_for_an_empty_one() {
    let d = folder("head-spoiled");
    let (mut r, _) = open(&d).unwrap();
    r.base(b"base").unwrap();
    (0..90).for_each(|i| save(&mut r, &[i; 40]));
    drop(r);
    let all = files(&d);
    // The two that are in use.
    for file in 1..3 {
        let mut spoiled = all.clone();
        spoiled[file][7] ^= 1;
        restore(&d, &spoiled);
        assert!(open(&d).is_err(), "head of file {file}");
    }
    let mut spoiled = all.clone();
    spoiled.iter_mut().for_each(|b| b[7] ^= 1);
    restore(&d, &spoiled);
    assert!(matches!(open(&d), Err(DiskLogError::Damaged { .. })));
    std::fs::remove_dir_all(d).unwrap();
}
