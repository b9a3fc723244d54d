//! What a process holds of the machine's memory.
use runtime::process::{release_freed_memory, resident_bytes};

const BLOCKS: usize = 4_000;
const BLOCK: usize = 16 << 10;

/// Guards against memory that a burst of messages took and that is held once it is over.
#[test]
fn given_blocks_freed_between_live_ones_then_the_process_holds_less_than_half_of_them_afterwards() {
    let before = resident_bytes().expect("the kernel's figures");
    let mut all: Vec<(Vec<u8>, Box<usize>)> = vec![];
    for i in 0..BLOCKS {
        all.push((vec![1; BLOCK], Box::new(i)));
    }
    let full = resident_bytes().expect("the kernel's figures") - before;
    let live: Vec<Box<usize>> = all.into_iter().map(|(_, small)| small).collect();
    release_freed_memory();
    let held = resident_bytes().expect("the kernel's figures").saturating_sub(before);
    println!("{full} bytes, {held} once they were freed, {} live", live.len());
    assert!(full > BLOCKS * BLOCK * 9 / 10, "{full} bytes were held");
    assert!(held * 2 < full, "{held} of {full} bytes are held");
}
