//! What follows from a machine's limits: how memory is shared out, and what it can do for others.
use machine::MachineConfig;
use primitives::Span;

const MB: usize = 1_000_000;

fn env(memory: usize, disk_mb: Option<u64>) -> MachineConfig {
    MachineConfig {
        ip: [127, 0, 0, 1].into(),
        port: 7000,
        zone: "a/b".into(),
        seeds: vec![],
        initial: true,
        disk: disk_mb.map(|mb| ("/nowhere/lanewing-test".into(), mb)),
        counted: true,
        losses: 2,
        link: None,
        processor: 1.0,
        memory,
        window: Span::secs(60),
        grace: Span::secs(6),
        retry: (0.2, 100.0),
        beat: Span::secs(1),
        front: None,
        ready: None,
        control: None,
        metrics: None,
    }
}

#[test]
fn given_a_small_machine_that_keeps_data_then_copies_and_answers_leave_room_for_it() {
    let machine = env(78 * MB, Some(64));
    let (kept, copies, answers) =
        (machine.durable_parts_memory(), machine.cache_memory(), machine.answers_memory());
    // Grants of 4.5 MB and a state of 2.25 MB, several times each.
    assert!((25 * MB..30 * MB).contains(&kept), "{kept} bytes set aside");
    let left = 78 * MB - kept - copies - answers;
    assert!(left >= 20 * MB, "{left} bytes for all the rest");
}

#[test]
fn given_the_largest_bodies_that_operators_usually_allow_then_one_fits_beside_copies_and_answers() {
    let machine = env(260 * MB, None);
    let bodies = machine.bodies_memory();
    assert!(bodies >= 64 << 20, "{bodies} bytes for bodies");
    let all = bodies + machine.cache_memory() + machine.answers_memory();
    assert!(all <= 260 * MB / 10 * 9, "{all} bytes promised");
}

#[test]
fn given_a_machine_that_keeps_nothing_then_nothing_is_set_aside() {
    let machine = env(78 * MB, None);
    assert_eq!((machine.durable_parts_memory(), machine.cache_memory()), (0, 26 * MB));
}

#[test]
fn given_a_disk_that_is_large_beside_the_memory_then_half_is_left() {
    let machine = env(78 * MB, Some(4096));
    assert_eq!(machine.durable_parts_memory(), 39 * MB);
}

#[test]
fn given_a_link_and_a_processor_then_the_scarcer_one_says_what_can_be_handed_to_others() {
    let with =
        |link: Option<u64>, processor: f64| MachineConfig { link, processor, ..env(MB, None) }.capacity();
    let (small, middle, large) =
        (with(Some(10_000_000), 0.1), with(Some(100_000_000), 0.25), with(Some(1_000_000_000), 0.5));
    assert!(small * 9 < middle && middle * 2 < large, "{small} {middle} {large}");
    assert_eq!(large, with(None, 0.5), "its processor bounds it");
    assert_eq!(with(Some(1), 0.000_001), 1);
}
