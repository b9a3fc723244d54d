//! A search over every short order of claim, grant, leaving, freeze, loss, recall and
//! repeat, for one key and one set of ledgers: it runs once at most within the minute.
//! `LANEWING_DEEPER` is added to the depths.
mod model;
mod search;
mod stage;
use control_state::Msg;
use model::*;
use search::search;

fn deeper() -> usize {
    let n = |s: String| s.parse().expect("LANEWING_DEEPER should be a whole number");
    std::env::var("LANEWING_DEEPER").map_or(0, n)
}

/// The first edge holds the grants of two ledgers of three; its round has not left.
fn granted() -> State {
    let s = State::new().act(&Act::Begin(0), PRODUCT);
    let s = s.act(&Act::Vote(0), PRODUCT);
    s.act(&Act::Vote(0), PRODUCT)
}

/// It has left, and its answer is lost.
fn ran() -> State {
    granted().act(&Act::Leave(0), PRODUCT)
}

/// Its thread is frozen before it leaves, until the ledgers' window is over.
fn frozen() -> State {
    granted().act(&Act::Wait(1), PRODUCT)
}

/// A ledger that granted it lost its disk and asks the others for what it held.
fn recalling() -> State {
    ran().act(&Act::LoseDisk(0), PRODUCT).act(&Act::Wait(0), PRODUCT).act(&Act::Begin(1), PRODUCT)
}

/// It has their answers, and grants again.
fn recalled() -> State {
    recalling().deliver(|m| matches!(m, Msg::Recall { .. } | Msg::Recalled { .. }))
}

/// Both callers are there, and every claim is on its way.
fn both() -> State {
    State::new().act(&Act::Begin(0), PRODUCT).act(&Act::Begin(1), PRODUCT)
}

#[test]
fn given_the_starts_of_the_search_then_they_are_what_they_are_called() {
    let grants = |s: State| [0, 1, 2].map(|l| s.may_grant(l));
    assert_eq!(grants(both()), [true; 3]);
    assert_eq!(grants(recalling()), [false, true, true]);
    assert_eq!(grants(recalled()), [true; 3]);
    assert_eq!((granted().ran.len(), ran().ran.len(), recalled().ran.len()), (0, 1, 1));
}

#[test]
fn given_every_short_order_of_claims_losses_and_waits_then_a_key_runs_once() {
    for (name, start, depth) in [
        ("nothing begun", State::new(), 4),
        ("both claim", both(), 3),
        ("granted", granted(), 4),
        ("ran", ran(), 4),
        ("frozen past the window", frozen(), 5),
        ("recalling", recalling(), 4),
        ("recalled", recalled(), 5),
    ] {
        let found = search(&start, depth + deeper(), PRODUCT);
        println!("{name}: {} states within {} acts", found.states, depth + deeper());
        assert!(found.twice.is_none(), "{name}: {:?}", found.twice);
        assert!(found.states > 1000, "{name}: only {} states were met", found.states);
    }
}

#[test]
fn given_no_last_look_at_the_clock_then_the_search_finds_a_round_that_leaves_into_the_next_grant() {
    let found = search(&frozen(), 5, Fences { last_look: false, ..PRODUCT });
    println!("no last look: {} states, {:?}", found.states, found.twice);
    assert!(found.twice.is_some(), "nothing was found");
}

#[test]
fn given_a_new_disk_that_grants_without_a_recall_then_the_search_finds_a_second_run() {
    let found = search(&ran(), 5, Fences { recall: false, ..PRODUCT });
    println!("no recall: {} states, {:?}", found.states, found.twice);
    assert!(found.twice.is_some(), "nothing was found");
}
