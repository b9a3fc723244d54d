//! A member that was removed while alive: it must not vote in any era until it has rejoined, and it
//! must not confirm a snapshot before that is saved.
use caesar::{Ballot, CommandId, MemberId, Message, Offer, Preds, ReplicaConfig, Stamp};
use control_state::*;
use controller::snapshot_transfer::SnapshotSender;
use controller::{Controller, ControllerEnv, Kept, Open};
use primitives::{Addr, Birth, Mono, Span};
use std::net::{Ipv4Addr, SocketAddr};

const BIRTH: u64 = 77;
const NOW: Mono = Mono(1_000_000);

fn addr(host: u8) -> Addr {
    Addr(SocketAddr::from((Ipv4Addr::new(10, 0, 0, host), 1)))
}

fn member(member_id: u16, host: u8, birth: u64) -> Member {
    Member {
        member_id: MemberId(member_id),
        addr: addr(host),
        http: addr(host),
        zone: "sicilia/a".into(),
        birth: Birth(birth),
    }
}

/// Three members of the first era; the last is the controller under test.
fn first_era() -> ControlState {
    let members = [member(0, 1, 1), member(1, 2, 2), member(2, 3, BIRTH)];
    ControlState::default().cut(&members, Era(0), 0)
}

/// The next era, in which a newcomer has replaced the controller under test.
fn era_without_member() -> ControlState {
    first_era().cut(&[member(0, 1, 1), member(1, 2, 2), member(3, 4, 4)], Era(0), 100)
}

/// The era after that, of which the controller under test is a member again.
fn era_with_member_again() -> ControlState {
    let members = [member(0, 1, 1), member(1, 2, 2), member(3, 4, 4), member(4, 3, BIRTH)];
    era_without_member().cut(&members, Era(2), 200)
}

fn start(records: Vec<Kept>, out: &mut Vec<Out>) -> Controller {
    let env = ControllerEnv {
        addr: addr(3),
        http: addr(3),
        zone: "sicilia/a".into(),
        seeds: vec![addr(1), addr(2), addr(3)],
        found: false,
        open: Some(Open { initial: false, keeps: true, losses: 1 }),
        lease: Span::ms(600),
        cut_at: 256,
        window: Span::secs(90),
        vanish: Span::secs(3),
        compact_after_bytes: 1 << 20,
        contact_by_echo: true,
        room: 24 << 20,
        pace: ReplicaConfig::default(),
    };
    Controller::start(env, records, 5, NOW, out)
}

fn step(controller: &mut Controller, from: u8, msg: Msg) -> Vec<Out> {
    let mut out = vec![];
    controller.step(NOW + Span::ms(10), In::Msg(addr(from), msg), &mut out);
    out
}

fn proposal(era: Era) -> Msg {
    let cid = CommandId { member_id: MemberId(0), seq: 9 };
    let stamp = Stamp { k: 9, i: MemberId(0) };
    let offer = Offer { cid, cmd: Cmd::Look, ballot: Ballot::default(), stamp, pred: Preds::new() };
    Msg::agreement(era, MemberId(0), Message::FastPropose(offer, false))
}

fn snapshot(state: &ControlState) -> Msg {
    Msg::Snapshot(Box::new(SnapshotSender::default().offer(NOW, state)))
}

fn votes(out: &[Out]) -> usize {
    out.iter().filter(|o| matches!(o, Out::Send(_, Msg::Agreement(..)))).count()
}

fn saved_bases(out: &[Out]) -> Vec<Kept> {
    out.iter().filter_map(|o| if let Out::Base(b) = o { Kept::decode(b) } else { None }).collect()
}

/// A controller that was a member of the first era and has learned of the next one, with the
/// records it saved on learning of it.
fn removed_controller() -> (Controller, Vec<Kept>) {
    let mut out = vec![];
    let mut controller = start(vec![Kept::Base(Birth(BIRTH), Box::new(first_era()))], &mut out);
    assert_eq!(controller.member_id(), Some(MemberId(2)));
    assert_eq!(votes(&step(&mut controller, 1, proposal(Era(1)))), 1, "a member votes");
    let out = step(&mut controller, 1, snapshot(&era_without_member()));
    assert_eq!(controller.member_id(), None, "removed from the membership");
    (controller, saved_bases(&out))
}

#[test]
fn given_a_member_that_learns_of_its_removal_then_it_votes_in_no_era_and_asks_to_join() {
    let (mut controller, records) = removed_controller();
    assert!(matches!(&records[..], [Kept::Base(b, p)] if b.0 == BIRTH && p.era == Era(2)), "{records:?}");
    for era in [Era(1), Era(2)] {
        assert_eq!(votes(&step(&mut controller, 1, proposal(era))), 0, "{era:?}");
    }
    let mut out = vec![];
    controller.step(NOW + Span::secs(1), In::Tick, &mut out);
    let announced_to: Vec<&Addr> = out
        .iter()
        .filter_map(|o| match o {
            Out::Send(to, Msg::Unjoined(m)) if m.birth == Birth(BIRTH) => Some(to),
            _ => None,
        })
        .collect();
    assert!(
        announced_to.contains(&&addr(4)),
        "announces itself also to a member that is not a seed: {announced_to:?}"
    );
}

#[test]
fn given_a_removed_member_that_restarts_from_its_disk_then_it_votes_in_no_era() {
    let (_, records) = removed_controller();
    let mut controller = start(records, &mut vec![]);
    assert_eq!(controller.member_id(), None);
    for era in [Era(1), Era(2)] {
        assert_eq!(votes(&step(&mut controller, 1, proposal(era))), 0, "{era:?}");
    }
}

#[test]
fn given_a_removed_member_that_rejoins_then_it_votes_only_under_its_new_id() {
    let (mut controller, _) = removed_controller();
    step(&mut controller, 1, snapshot(&era_without_member()));
    let mut out = vec![];
    controller.step(NOW + Span::secs(1), In::Tick, &mut out);
    let confirmation = |o: &Out| matches!(o, Out::Send(_, Msg::SnapshotStored(Era(2), Birth(BIRTH))));
    assert!(out.iter().any(confirmation), "{out:?}");
    step(&mut controller, 1, snapshot(&era_with_member_again()));
    assert_eq!(controller.member_id(), Some(MemberId(4)));
    assert_eq!(votes(&step(&mut controller, 1, proposal(Era(1)))), 0);
    assert_eq!(votes(&step(&mut controller, 1, proposal(Era(3)))), 1);
}

#[test]
fn given_an_empty_disk_then_a_snapshot_is_confirmed_only_after_it_was_saved() {
    let mut controller = start(vec![], &mut vec![]);
    let out = step(&mut controller, 1, snapshot(&era_without_member()));
    let base = out.iter().position(|o| matches!(o, Out::Base(_)));
    let confirmation = out.iter().position(|o| matches!(o, Out::Send(_, Msg::SnapshotStored(Era(2), _))));
    assert!(base.is_some() && base < confirmation, "{out:?}");
    assert_eq!(controller.member_id(), None);
    let replies = step(&mut controller, 1, snapshot(&first_era()));
    assert!(replies.is_empty(), "an older snapshot is not confirmed: {replies:?}");
}
