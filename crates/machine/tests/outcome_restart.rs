//! The ledger of one machine at the load of a deployment, over restarts: after each the windows of all its keys
//! begin anew, so that it holds the keys of two windows for a time.
mod common;
#[path = "common/ledger_on_disk.rs"]
mod ledger_on_disk;
use control_state::*;
use ledger_on_disk::{LedgerOnDisk, START};
use primitives::{Mono, Span};

/// The window that callers are promised.
const KEY_WINDOW: Span = Span::secs(60);
const BODY_BYTES: usize = 1_500;

// Guards against keys that are refused for want of memory after ledgers were started again.
#[test]
fn given_a_restart_at_the_load_of_a_deployment_then_no_key_is_refused_and_all_outcomes_are_known() {
    // Memory in MB, and keys a second at one ledger.
    for (memory_mb, keys_per_second) in [(78, 75), (160, 80)] {
        let mut ledger = LedgerOnDisk::new(memory_mb);
        let window = keys_per_second * KEY_WINDOW.as_ms() / 1000;
        for n in 0..window * 4 {
            let now = Mono(START.0 + n * 1_000_000 / keys_per_second);
            let what = format!("key {n}, {memory_mb} MB, {keys_per_second} a second");
            assert_eq!(ledger.run_key(now, n, BODY_BYTES), Claimed::Granted, "{what}");
            let oldest = n.saturating_sub(window - 1);
            let said = ledger.claim(now, 8, oldest);
            assert!(matches!(said, Claimed::Held(Some(_))), "{oldest} at {what}: {said:?}");
            if n == window * 3 / 2 {
                ledger.restart(now);
            }
        }
    }
}
