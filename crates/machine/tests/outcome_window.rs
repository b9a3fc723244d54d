//! The ledger of one machine at the load of a deployment: the outcome of a key that ran is known until its
//! window is over.
mod common;
#[path = "common/ledger_on_disk.rs"]
mod ledger_on_disk;
use common::config;
use control_state::*;
use ledger::Kept;
use ledger_on_disk::{LedgerOnDisk, MB, START};
use machine::MachineConfig;
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};

/// The window that callers are promised.
const KEY_WINDOW: Span = Span::secs(60);

fn claim(ledger: &mut ledger::Ledger, now: Mono, node: u64, n: u64) -> Claimed {
    let round = RoundId { node: NodeId(node), birth: Birth(1), n };
    let (key, print) = (format!("pay.example/k-{n}"), Fingerprint([1; 32]));
    let answers = step(ledger, now, Msg::Claim { key, print, round, roll: Version(1) });
    let said = |m: Msg| if let Msg::Claimed { said, .. } = m { Some(said) } else { None };
    answers.into_iter().find_map(said).expect("a claim is answered")
}

fn step(ledger: &mut ledger::Ledger, now: Mono, message: Msg) -> Vec<Msg> {
    let mut out = vec![];
    let from = Addr("127.0.0.1:9".parse().expect("an address"));
    ledger.step(now, In::Msg(from, message), &mut out);
    ledger.step(now, In::Tick, &mut out);
    out.into_iter().filter_map(|o| if let Out::Send(_, m) = o { Some(m) } else { None }).collect()
}

// Guards against outcomes that are forgotten while their keys are held: at an ordinary load of 18 keys a second
// repeats were denied from the 35th second on.
#[test]
fn given_the_load_of_a_deployment_then_the_outcome_of_every_key_is_known_for_its_window() {
    // Memory in MB, keys a second at one ledger, and bytes of an answer.
    for (memory_mb, keys_per_second, bytes) in [
        (260, 18, 5_000),
        (220, 32, 1_500),
        (160, 64, 5_000),
        (78, 42, 1_500),
        (78, 75, 1_500),
        (160, 52, 5_000),
    ] {
        let mut ledger = LedgerOnDisk::new(memory_mb);
        let at = |n: u64| Mono(START.0 + n * 1_000_000 / keys_per_second);
        let window = keys_per_second * KEY_WINDOW.as_ms() / 1000;
        let what = format!("{memory_mb} MB, {keys_per_second} a second of {bytes} bytes");
        for n in 0..window * 3 {
            assert_eq!(ledger.run_key(at(n), n, bytes), Claimed::Granted, "key {n}, {what}");
            let oldest = n.saturating_sub(window - 1);
            let said = ledger.claim(at(n), 8, oldest);
            assert!(matches!(said, Claimed::Held(Some(_))), "{oldest} when {n} has run, {what}: {said:?}");
        }
    }
}

// Guards against a disk of an earlier version that is taken for a new one: it is opened in its own form.
#[test]
fn given_the_log_of_an_earlier_version_then_it_keeps_its_form_and_all_that_it_holds() {
    let dir = std::env::temp_dir().join(format!("lanewing-earlier-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (mut log, _) = runtime::disk_log::DiskLog::open(&dir.join("ledger"), 4, 6 << 20).expect("it is made");
    let key: String = "pay.example/k-1".into();
    let round = RoundId { node: NodeId(9), birth: Birth(1), n: 1 };
    let records = [
        Kept::Birth(Birth(7)),
        Kept::Open,
        Kept::Grant { key: key.clone(), print: Fingerprint([1; 32]), round },
        Kept::Outcome { key, round, whole: Whole::new(200, "", vec![1; 5_000]) },
    ];
    let entries = records.iter().map(Kept::encode).collect();
    runtime::shell::append_entries(&mut log, entries, None).expect("it is written");
    drop(log);
    let machine = MachineConfig { disk: Some((dir.clone(), 64)), ..config(260 * MB, None) };
    for n in 0..2 {
        let (log, records) = machine.open_ledger_log(&dir).expect("it opens");
        let mut ledger = machine.ledger(records, Mono(1_000_000), &mut vec![]);
        assert!(matches!(claim(&mut ledger, Mono(2_000_000), 8, 1), Claimed::Held(Some(_))), "opening {n}");
        drop(log);
    }
    // The earlier version finds its four files as it left them.
    let (_, records) = runtime::disk_log::DiskLog::open(&dir.join("ledger"), 4, 6 << 20).expect("it opens");
    assert_eq!(runtime::shell::unpack(records).map(|entries| entries.len()), Some(4));
    std::fs::remove_dir_all(dir).expect("removed");
}
