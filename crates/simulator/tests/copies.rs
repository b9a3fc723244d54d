//! Acknowledged means on one disk more than may be lost at once, also where there are few.
mod common;
#[path = "common/disks.rs"]
mod disks;
#[path = "common/open.rs"]
mod open;
use control_state::*;
use disks::*;
use primitives::{Addr, Span, Token};
use simulator::*;

fn plan(losses: usize) -> Plan {
    let open = Plan::open().open.map(|o| controller::Open { losses, ..o });
    Plan { open, losses, ..Plan::open() }
}

/// Only the machine without a disk that names the founder, and these.
fn gathering(losses: usize, seed: u64, disks: &[u8]) -> (World, Fleet) {
    let (mut w, f) = World::build_open_fleet(plan(losses), seed);
    start_machine(&mut w, 1);
    disks.iter().for_each(|m| start_machine(&mut w, *m));
    (w, f)
}

fn service(n: u64) -> Vec<Edit> {
    vec![edit(Section::Services, "pages", n, Some(Body::Service(service_entry(None))))]
}

/// Asks once a second; how many were acknowledged.
fn ask_for(w: &mut World, f: &Fleet, secs: u64, first: u64) -> usize {
    let mut tokens: Vec<Token> = vec![];
    for i in 0..secs {
        tokens.push(w.edit(f.edges[0], service(first + i)));
        w.run(Span::secs(1));
    }
    acknowledged(w, &tokens)
}

fn version(w: &World, k: Addr) -> u64 {
    let key = Key::Entry(Section::Services, "pages".into());
    w.controller(k).map_or(0, |k| k.state().item(&key).ver.0)
}

#[test]
fn given_fewer_disks_than_an_acknowledgement_asks_for_then_no_edit_is_taken() {
    for (losses, disks) in [(1, &[2][..]), (2, &[2, 3][..])] {
        let (mut w, f) = gathering(losses, 2760, disks);
        let done = ask_for(&mut w, &f, 20, 1);
        assert_eq!(done, 0, "f = {losses}, {} disks", disks.len());
        // One more comes: with f + 1 there are as many copies as an acknowledgement asks for.
        start_machine(&mut w, 4);
        let done = ask_for(&mut w, &f, 20, 100);
        println!("f = {losses}: {done} of 20 acknowledged with {} disks", disks.len() + 1);
        assert!(done >= 10, "f = {losses}: {done} of 20 acknowledged");
        clean(&mut w);
    }
}

/// Three disks where two losses are to be borne: a majority decides, but all three must
/// have an edit before it is acknowledged.
#[test]
fn given_a_majority_that_is_less_than_one_more_than_the_losses_then_every_copy_is_waited_for() {
    let (mut w, f) = gathering(2, 2761, &[2, 3, 4]);
    let done = ask_for(&mut w, &f, 12, 1);
    assert!(done > 0, "nothing was acknowledged");
    w.run(Span::secs(5));
    let stalled = addr(4, 1);
    w.procs.get_mut(&stalled).expect("is there").stalled = true;
    let done = ask_for(&mut w, &f, 5, 100);
    assert_eq!(done, 0, "acknowledged with two copies");
    assert!(version(&w, addr(2, 1)) >= 100, "it was decided all the same");
    w.unstall(stalled);
    let done = ask_for(&mut w, &f, 10, 200);
    assert!(done >= 5, "{done} of 10 acknowledged once the third disk answers");
    clean(&mut w);
}

fn clean(w: &mut World) {
    w.rules.check_rates();
    assert!(w.rules.violations.is_empty(), "{:#?}", w.rules.violations);
}
