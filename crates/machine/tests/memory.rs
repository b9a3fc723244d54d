//! Parameters derived from a machine's limits: the division of memory, and the capacity to serve other nodes.
mod common;
use common::config;
use control_state::MemoryPressure;
use machine::{pressure_at, MachineConfig};

const MB: usize = 1_000_000;

#[test]
fn given_a_small_machine_with_a_disk_then_cache_and_answers_leave_enough_memory_for_the_rest() {
    let machine = config(78 * MB, Some(64));
    let (durable, copies, answers) =
        (machine.durable_parts_memory(), machine.cache_memory(), machine.answers_memory());
    // 13 MB of grants and outcomes and 2.25 MB of state, each multiplied by its memory factor.
    assert!((31 * MB..36 * MB).contains(&durable), "{durable} bytes reserved for durable parts");
    let left = 78 * MB - durable - copies - answers;
    assert!(left >= 20 * MB, "{left} bytes left for everything else");
}

#[test]
fn given_the_usual_maximum_body_size_then_one_such_body_fits_beside_cache_and_answers() {
    let machine = config(260 * MB, None);
    let bodies = machine.bodies_memory();
    assert!(bodies >= 64 << 20, "{bodies} bytes for bodies");
    let all = bodies + machine.cache_memory() + machine.answers_memory();
    assert!(all <= 260 * MB / 10 * 9, "{all} bytes reserved");
}

#[test]
fn given_a_machine_without_a_disk_then_no_memory_is_reserved_for_durable_parts() {
    let machine = config(78 * MB, None);
    assert_eq!((machine.durable_parts_memory(), machine.cache_memory()), (0, 26 * MB));
}

#[test]
fn given_a_disk_much_larger_than_memory_then_durable_parts_get_half_of_the_memory() {
    let machine = config(78 * MB, Some(4096));
    assert_eq!(machine.durable_parts_memory(), 39 * MB);
}

#[test]
fn given_a_link_and_a_processor_then_the_smaller_one_limits_the_capacity() {
    let capacity = |link_bits_per_second: Option<u64>, cores: f64| {
        MachineConfig { link_bits_per_second, cores, ..config(MB, None) }.capacity()
    };
    let (small, middle, large) = (
        capacity(Some(10_000_000), 0.1),
        capacity(Some(100_000_000), 0.25),
        capacity(Some(1_000_000_000), 0.5),
    );
    assert!(small * 9 < middle && middle * 2 < large, "{small} {middle} {large}");
    assert_eq!(large, capacity(None, 0.5), "limited by its processor");
    assert_eq!(capacity(Some(1), 0.000_001), 1);
}

/// Guards against processes that end over their memory (LOST): copies go first, then new requests are
/// denied, long before the limit.
#[test]
fn given_a_process_that_nears_its_limit_then_copies_go_first_and_new_requests_next() {
    let pressures: Vec<MemoryPressure> = (0..=120).map(pressure_at).collect();
    assert!(pressures.is_sorted());
    let first = |pressure| pressures.iter().position(|p| *p == pressure).expect("it is reached");
    let (high, critical) = (first(MemoryPressure::High), first(MemoryPressure::Critical));
    assert!(high < critical && critical <= 90, "{high} and {critical} percent");
}
