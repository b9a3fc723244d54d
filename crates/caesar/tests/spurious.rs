//! A rejection caused by a command that is accepted but not yet stable may be wrong, since the
//! predecessors of that command are not final. Recovery that trusts such a rejection may overturn
//! a fast decision.
mod cluster;
use caesar::*;
use cluster::Cluster;
use primitives::Span;

#[test]
fn given_a_fast_decision_and_a_rejection_by_an_accepted_command_when_the_leader_is_gone_then_one_order() {
    let mut cluster = Cluster::with_retry_at_one_replica(ReplicaConfig::default());
    // Replica 3 proposes command 3 below the new timestamp of command 2. Replicas 1, 2 and 3
    // agree, which is a fast decision; replica 0 rejects it. Only replica 3 learns the decision.
    cluster.propose(3, 3);
    cluster.deliver_where(|(from, to, message)| match message {
        Message::FastPropose(proposal, _) => proposal.cmd.id == 3 && *to != 0,
        Message::Vote(vote) => vote.cid.member_id == MemberId(3),
        Message::Stable(proposal) => proposal.cmd.id == 3 && *from == 3 && *to == 3,
        _ => false,
    });
    cluster.deliver_where(|(_, to, message)| {
        *to == 0 && matches!(message, Message::FastPropose(proposal, _) if proposal.cmd.id == 3)
    });
    cluster.in_transit.retain(|(from, to, _)| *from != 3 && *to != 3);
    assert_eq!(cluster.replicas[3].tally.fast, 1, "command 3 was not decided by a fast quorum");
    // Replica 3 is unreachable while the others finish both commands; then it returns.
    cluster.deliver_where(|_| true);
    cluster.run(&[0, 1, 2], Span::secs(12), Span::ms(20));
    cluster.run(&[0, 1, 2, 3], Span::secs(12), Span::ms(20));
    assert_eq!(cluster.delivered[0].len(), 3, "{:?}", cluster.delivered);
    assert!(cluster.delivered.iter().all(|ids| *ids == cluster.delivered[0]), "{:?}", cluster.delivered);
}
