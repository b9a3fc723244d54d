//! The memory that a start takes on a machine of little memory whose ledger's log is full.
mod common;
use common::config;
use control_state::*;
use ledger::Kept;
use machine::MachineConfig;
use primitives::{Birth, Mono, NodeId};
use runtime::shell::append_entries;

const MB: usize = 1 << 20;
const MEMORY_MB: usize = 78;
const DISK_MB: u64 = 64;
/// What a process needs besides its ledger.
const OTHER_NEEDS_MB: usize = 24;
const BODY_BYTES: usize = 1_500;
/// Outcomes that fill nine tenths of the log's capacity.
const OUTCOMES: u64 = 17_500;
const BATCH: u64 = 10;

/// The most memory that this process has held since the last call of `reset_peak`, in bytes.
fn peak() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux tells it");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak is told");
    let kib: usize = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
    kib << 10
}

fn reset_peak() {
    runtime::process::release_freed_memory();
    std::fs::write("/proc/self/clear_refs", "5").expect("the peak may be reset");
}

fn records_of(n: u64) -> [Vec<u8>; 2] {
    let round = RoundId { node: NodeId(9), birth: Birth(1), n };
    let key = format!("pay.example/k-{n}");
    let print = Fingerprint([1; 32]);
    let whole = Whole::new(200, "", vec![1; BODY_BYTES]);
    [Kept::Grant { key: key.clone(), print, round }, Kept::Outcome { key, round, whole }]
        .map(|record| record.encode())
}

// Guards against a process that ends over its memory at each start, once its log holds more than fits in memory.
#[test]
fn given_a_full_log_then_a_start_takes_less_memory_than_a_small_machine_has() {
    let dir = std::env::temp_dir().join(format!("lanewing-start-memory-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let machine = MachineConfig { disk: Some((dir.clone(), DISK_MB)), ..config(MEMORY_MB * MB, None) };
    let (mut log, _) = machine.open_ledger_log(&dir).expect("it is made");
    let first = [Kept::Birth(Birth(7)), Kept::Open].map(|record| record.encode());
    append_entries(&mut log, first.to_vec(), None).expect("there is room");
    for batch in 0..OUTCOMES / BATCH {
        let entries = (batch * BATCH..(batch + 1) * BATCH).flat_map(records_of).collect();
        append_entries(&mut log, entries, None).expect("there is room");
    }
    drop(log);
    reset_peak();
    let before = peak();
    let (_log, records) = machine.open_ledger_log(&dir).expect("it opens");
    let ledger = machine.ledger(records, Mono(1_000_000), &mut vec![]);
    let taken = peak() - before;
    assert_eq!(ledger.held() as u64, OUTCOMES);
    println!("a start takes {} MB", taken / MB);
    assert!(taken < (MEMORY_MB - OTHER_NEEDS_MB) * MB, "a start takes {} MB", taken / MB);
    std::fs::remove_dir_all(dir).expect("removed");
}
