//! A machine with the limits of the tests.
use machine::MachineConfig;
use primitives::Span;

pub fn config(memory: usize, disk_mb: Option<u64>) -> MachineConfig {
    MachineConfig {
        ip: [127, 0, 0, 1].into(),
        port: 7000,
        zone: "a/b".into(),
        seeds: vec![],
        initial: true,
        disk: disk_mb.map(|mb| ("/nowhere/lanewing-test".into(), mb)),
        disk_counted: true,
        tolerated_losses: 2,
        link_bits_per_second: None,
        cores: 1.0,
        memory,
        key_window: Span::secs(60),
        grace: Span::secs(6),
        retry: (0.2, 100.0),
        heartbeat_interval: Span::secs(1),
        front: None,
        ready: None,
        control: None,
        metrics: None,
    }
}
