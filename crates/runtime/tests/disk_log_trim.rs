//! A log whose oldest records are trimmed, on a real disk, through the disk thread's way of writing.
use runtime::disk_log::{DiskLog, DiskLogError};
use runtime::shell::{append_entries, read_entries};
use std::path::{Path, PathBuf};

const FILES: usize = 12;
const SIZE: u64 = 4096;

fn dir(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("lanewing-trim-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

/// Opens the log; its entries are numbers, padded to some length.
fn open(d: &Path) -> (DiskLog, Vec<u64>) {
    let (mut log, records) = DiskLog::open_trimmable(d, FILES, SIZE).expect("the log opens");
    let entries = read_entries(&mut log, records).expect("entries decode");
    let number = |entry: &Vec<u8>| u64::from_le_bytes(entry[..8].try_into().expect("begins with a number"));
    let numbers = entries.iter().map(number).collect();
    (log, numbers)
}

fn entry(n: u64, length: usize) -> Vec<u8> {
    let mut bytes = n.to_le_bytes().to_vec();
    bytes.resize(8 + length, n as u8);
    bytes
}

fn copy(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("a folder");
    for file in std::fs::read_dir(from).expect("the log's folder") {
        let path = file.expect("an entry").path();
        std::fs::copy(&path, to.join(path.file_name().expect("a name"))).expect("copied");
    }
}

/// The file of the last segment; each begins with a magic number and the number of its segment.
fn last_file(d: &Path) -> String {
    let segment = |name: &String| {
        let bytes = std::fs::read(d.join(name)).expect("a file of the log");
        u64::from_le_bytes(bytes[4..12].try_into().expect("eight bytes"))
    };
    (0..FILES).map(|file| format!("ring-{file}")).max_by_key(segment).expect("there are files")
}

// Guards against a log that reuses a segment which a restart still needs: after each write, and with the last
// write torn at any of some places, the log opens and holds every entry that was not trimmed.
#[test]
fn given_trims_over_many_laps_then_each_state_of_the_disk_opens_with_all_that_is_needed() {
    let (d, torn) = (dir("laps"), dir("laps-torn"));
    let mut rng = fastrand::Rng::with_seed(46);
    let (mut log, none) = open(&d);
    assert!(none.is_empty());
    // The numbers that the log gave the entries begin anew with each opening.
    let (mut next, mut first_of_opening, mut needed) = (0u64, 0u64, 0u64);
    for _ in 0..600 {
        copy(&d, &torn);
        let batch = rng.usize(1..4);
        // Now and then a large record, in chunks.
        let length = if rng.u8(0..8) == 0 { rng.usize(600..1200) } else { rng.usize(0..200) };
        let entries: Vec<Vec<u8>> = (0..batch as u64).map(|i| entry(next + i, length)).collect();
        needed = needed.max(next.saturating_sub(rng.u64(10..20)));
        let trim = (rng.u8(0..3) == 0 && needed >= first_of_opening).then(|| needed - first_of_opening);
        append_entries(&mut log, entries, trim).expect("there is room");
        // Each file is synced before the next one is begun, so power takes the newest writes to the last one.
        if rng.u8(0..4) == 0 {
            let last = last_file(&d);
            let others = (0..FILES).map(|file| format!("ring-{file}")).filter(|name| *name != last);
            others.for_each(|name| {
                std::fs::copy(d.join(&name), torn.join(&name)).expect("copied");
            });
            let (_, survived) = open(&torn);
            let from = survived.first().copied().unwrap_or(0);
            assert!(next == 0 || (from <= needed && survived.last() >= Some(&(next - 1))), "{survived:?}");
        }
        next += batch as u64;
        if rng.u8(0..10) == 0 {
            let (again, all) = open(&d);
            assert_eq!(all, (all[0]..next).collect::<Vec<_>>());
            assert!(all[0] <= needed, "begins at {} and {needed} is needed", all[0]);
            (log, first_of_opening) = (again, all[0]);
        }
    }
    assert!(next > 1000);
    [d, torn].iter().for_each(|d| std::fs::remove_dir_all(d).expect("removed"));
}

#[test]
fn given_a_log_that_is_never_trimmed_then_it_is_full_before_anything_is_lost() {
    let d = dir("full");
    let (mut log, _) = open(&d);
    let written = (0..).take_while(|n| append_entries(&mut log, vec![entry(*n, 200)], None).is_ok()).count();
    let full = append_entries(&mut log, vec![entry(0, 200)], None);
    assert!(matches!(full, Err(DiskLogError::Full)), "{full:?}");
    assert_eq!(open(&d).1, (0..written as u64).collect::<Vec<_>>());
    std::fs::remove_dir_all(d).expect("removed");
}
