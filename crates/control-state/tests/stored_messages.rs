//! Bytes and labels of messages between processes, which may run different releases. Figures are
//! labelled by the sort of message, so that a renamed variant must keep its label.
mod samples;

use caesar::{Ballot, CommandId, MemberId, Message, Offer, Stamp};
use control_state::*;
use primitives::{Birth, Epoch, Mono, NodeId, Span, Version};
use samples::{addr, encoded, node, row};
use std::sync::Arc;

const ASK: RequestId = RequestId { birth: Birth(61), n: 62 };
const CID: CommandId = CommandId { member_id: MemberId(3), seq: 63 };
const ROUND: RoundId = RoundId { node: NodeId(64), birth: Birth(65), n: 66 };
const PRINT: Fingerprint = Fingerprint([0x5a; 32]);

fn member() -> Member {
    let (member_id, zone, birth) = (MemberId(2), Zone::from("west/a"), Birth(31));
    Member { member_id, addr: addr(7), http: addr(8), zone, birth }
}

fn beat() -> OriginHeartbeat {
    OriginHeartbeat {
        svc: "shop".into(),
        addr: addr(1),
        birth: Birth(77),
        zone: "west/b".into(),
        cap: 12,
        occupancy: 5,
        mood: Mood::Leaving,
        seq: 9,
        tag: "shop-7".into(),
    }
}

fn change() -> Change {
    let op = Op::Row { lane: "cart".into(), svc: "shop".into(), expect: Version(6), row: Some(row()) };
    Change { id: Some("change-1".into()), op }
}

fn agreement() -> Msg {
    let cmd = Cmd::Changes(Arc::new(vec![change()]));
    let ballot = Ballot { n: 4, i: MemberId(1) };
    let stamp = Stamp { k: 70, i: MemberId(2) };
    let offer = Offer { cid: CID, cmd, ballot, stamp, pred: [CID].into() };
    Msg::agreement(Era(11), MemberId(1), Message::Retry(offer))
}

fn sub() -> Msg {
    Msg::Sub(Box::new(Sub {
        id: NodeId(41),
        node: node(),
        era: Era(11),
        feed: 21,
        got: 22,
        ask: Mono(23),
        life: 24,
        heard: Mono(25),
        source: true,
        wants: vec![("shop".into(), 26)],
        epoch: Epoch(27),
    }))
}

fn update() -> Msg {
    let reply = Reply {
        ask: Mono(23),
        life: 24,
        member_id: MemberId(2),
        lent: true,
        at: Some(Mono(28)),
        beats: vec![(beat(), Span::ms(29))],
        slices: vec![("shop".into(), 30)],
        epoch: Epoch(27),
    };
    let key = Key::Row("cart".into(), "shop".into());
    Msg::Update(Box::new(Update {
        feed: 21,
        from: 22,
        to: 23,
        full: true,
        items: vec![(key, Item { ver: Version(6), body: Some(Body::Row(row())) })],
        announced: vec![(Key::Node(NodeId(41)), Version(7))],
        era: Era(11),
        members: vec![member()],
        reply: Some(reply),
    }))
}

fn object() -> Object {
    Object { service: "shop".into(), site: Site("example.org".into()), path: "/cart/?page=2".into() }
}

fn whole() -> Whole {
    Whole::new(200, "text/plain", b"well".to_vec())
}

fn shown() -> TransferredCopy {
    TransferredCopy { whole: whole(), left: Span::secs(5), current_age: Span::secs(2), public: true }
}

fn held() -> Held {
    Held { key: "k-1".into(), print: PRINT, round: ROUND, whole: Some(whole()), age: Span::secs(3) }
}

/// One of each variant, in the order of the enum.
fn between_controllers() -> Vec<Msg> {
    let id = SnapshotId { era: Era(11), size: 400, digest: 401 };
    let piece = SnapshotMessage::Piece { id, clock: 402, offset: 403, bytes: vec![4, 5] };
    let done = Verdict::Done(vec![(Key::Node(NodeId(41)), Version(7))]);
    let (epoch, asked) = (Epoch(27), Mono(35));
    vec![
        agreement(),
        Msg::Unjoined(member()),
        Msg::Snapshot(Box::new(piece)),
        Msg::WantSnapshot(Era(11), Birth(31)),
        Msg::SnapshotStored(Era(12), Birth(32)),
        Msg::Leaving(MemberId(2)),
        Msg::Membership(Era(11), vec![member()]),
        Msg::Found(Birth(33)),
        Msg::Call(ASK, Box::new(Call::Change(change()))),
        Msg::CallAnswered(ASK, Box::new(CallAnswer::Change(done))),
        Msg::Heartbeats(vec![(beat(), Span::ms(29))], Mono(36), Some(Mono(37))),
        Msg::InForceQuery(Era(11), CID),
        Msg::InForce(Era(11), CID, MemberId(2)),
        Msg::Applied(Era(11), CID, MemberId(2)),
        Msg::AppliedQuery(Era(11), CID),
        Msg::Landed(vec![(Era(11), MemberId(2))]),
        Msg::Synced(Mono(34)),
        Msg::SlowDisk(MemberId(2)),
        Msg::LeadershipRequest { candidate: MemberId(2), epoch, asked },
        Msg::LeadershipVote { voter: MemberId(2), epoch, granted: Some(asked) },
    ]
}

/// As above, after those.
fn of_subscribers_and_copies() -> Vec<Msg> {
    let patience = Patience { in_line: Span::ms(300), left: Span::ms(900) };
    let (object, heads) = (object(), Headers::default().with("accept", "text/html"));
    let put = DiskCachePut { object: object.clone(), shown: shown(), mark: 81, sure: Era(10) };
    let said = CopyReply::Got(Box::new(shown()));
    let held = Some("\"v1\"".into());
    vec![
        sub(),
        update(),
        Msg::Got { id: NodeId(41), feed: 21, got: 22 },
        Msg::CopyQuery { ask: ASK, object, heads, reach: Reach::Region, held, patience },
        Msg::CopyPending(ASK),
        Msg::CopyResult { ask: ASK, said, purges: 82 },
        Msg::DiskCacheOffer(ASK),
        Msg::DiskCacheWant { ask: ASK, at: Mono(83) },
        Msg::DiskCachePut(Mono(84), Box::new(put)),
    ]
}

/// As above, after those.
fn of_ledgers() -> Vec<Msg> {
    let (key, print, round, roll) = (|| "k-1".to_string(), PRINT, ROUND, Version(15));
    let said = Claimed::Held(Some(whole()));
    vec![
        Msg::Claim { key: key(), print, round, roll },
        Msg::Claimed { key: key(), round, said },
        Msg::Release { key: key(), round },
        Msg::Outcome { key: key(), print, round, whole: whole() },
        Msg::Kept { key: key(), round },
        Msg::Digests(vec![91, 92]),
        Msg::Ranges(vec![(93, vec![held()])]),
        Msg::Recall { ask: 94, roll, purpose: RecallPurpose::Fill, after: Some(key()) },
        Msg::Recalled { ask: 94, held: vec![held()], next: Some(key()) },
        Msg::Fill { roll },
        Msg::Filled { id: NodeId(41), roll },
        Msg::HandOver { ask: 95, held: vec![held()] },
        Msg::HandedOver { ask: 95 },
    ]
}

/// Label and encoded bytes. The first byte is the variant's place in the enum.
const MESSAGES: &[(&str, &str)] = &[
    ("agreement", "47 bytes, hash faca6f0e4f10ba15"),
    ("unjoined", "0102000a000007903f000a000008903f06776573742f611f"),
    ("snapshot", "02020b9003910392039303020405"),
    ("want_snapshot", "030b1f"),
    ("learned", "040c20"),
    ("leaving", "0502"),
    ("roster", "060b0102000a000007903f000a000008903f06776573742f611f"),
    ("found", "0721"),
    ("call", "083d3e0001086368616e67652d310004636172740473686f700601468603030380dac409"),
    ("call_answered", "093d3e000001022907"),
    ("beats", "0a010473686f70000a000001903f4d06776573742f620c0502090673686f702d37c8e201240125"),
    ("ask_force", "0b0b033f"),
    ("in_force", "0c0b033f02"),
    ("applied", "0d0b033f02"),
    ("ask_applied", "0e0b033f"),
    ("landed", "0f010b02"),
    ("synced", "1022"),
    ("slow_disk", "1102"),
    ("ask_leadership", "12021b23"),
    ("leadership_vote", "13021b0123"),
    ("sub", "43 bytes, hash ca0dea7c988c73c3"),
    ("update", "108 bytes, hash 53b876337d0a9b72"),
    ("got", "16291516"),
    ("copy_ask", "65 bytes, hash 22f49f3eda22f4a3"),
    ("copy_wait", "183d3e"),
    ("copy_got", "45 bytes, hash 87a4185a7581b05e"),
    ("stock_offer", "1a3d3e"),
    ("stock_want", "1b3d3e53"),
    ("stock_put", "75 bytes, hash 9c1f0e7e67edf482"),
    ("claim", "41 bytes, hash 1271b7cde791234a"),
    ("claimed", "42 bytes, hash 7c161f21fd014545"),
    ("release", "1f036b2d31404142"),
    ("outcome", "72 bytes, hash 10874187c3cf5b1a"),
    ("kept", "21036b2d31404142"),
    ("digests", "22025b5c"),
    ("ranges", "80 bytes, hash 26c41d2caa9bd089"),
    ("recall", "245e0f0101036b2d31"),
    ("recalled", "84 bytes, hash e4ee8f428f137382"),
    ("fill", "260f"),
    ("filled", "27290f"),
    ("hand_over", "79 bytes, hash e6f02392b39237ed"),
    ("handed_over", "295f"),
];

/// Of all labels: tells if the expected labels themselves were edited.
const LABELS_HASH: u64 = 0x13ec_f41f_8489_eea8;

#[test]
fn given_a_message_of_each_variant_then_its_label_and_bytes_are_as_sent() {
    let all = [between_controllers(), of_subscribers_and_copies(), of_ledgers()].concat();
    assert_eq!(all.len(), MESSAGES.len());
    for (place, (message, (label, bytes))) in all.iter().zip(MESSAGES).enumerate() {
        assert_eq!(<&'static str>::from(message), *label);
        assert_eq!(encoded(message), *bytes, "{label}");
        let encoding = postcard::to_stdvec(message).expect("plain data always encodes");
        assert_eq!(usize::from(encoding[0]), place, "{label}");
    }
    let labels: Vec<&str> = MESSAGES.iter().map(|(label, _)| *label).collect();
    assert_eq!(primitives::hash(&labels), LABELS_HASH);
}
