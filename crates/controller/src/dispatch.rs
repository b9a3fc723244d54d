//! The dispatch of a controller's inputs.
use crate::controller::Controller;
use control_state::*;
use primitives::Mono;

impl Part for Controller {
    fn step(&mut self, now: Mono, input: In, out: &mut Vec<Out>) {
        self.pause_detector.step(now);
        let first_output = out.len();
        match input {
            In::Tick => self.tick(now, out),
            In::CallerGone(_) | In::Read(..) => (),
            In::Ask(token, ask) => self.ask(now, token, ask, out),
            In::Msg(from, message) => match message {
                Msg::Agreement(era, member_id, m) => self.on_agreement(now, from, era, member_id, *m, out),
                Msg::Unjoined(m) => self.on_unjoined(now, m, out),
                Msg::Snapshot(m) => self.on_snapshot(now, from, *m, out),
                Msg::WantSnapshot(era, birth) => self.on_want(now, from, era, birth, out),
                Msg::Heartbeats(hs, at, echo) => self.on_relayed_heartbeats(now, from, hs, at, echo),
                Msg::InForceQuery(era, cid) => self.on_in_force_query(from, era, cid, out),
                Msg::InForce(era, cid, member_id) => self.on_in_force(now, era, cid, member_id, out),
                Msg::Applied(era, cid, member_id) => self.on_applied(now, era, cid, member_id, out),
                Msg::SnapshotStored(era, birth) => self.on_snapshot_confirmed(now, from, era, birth),
                Msg::Leaving(member_id) => self.on_leaving(now, member_id),
                Msg::Landed(retired) => self.on_membership_retired(now, retired, out),
                Msg::AppliedQuery(era, cid) => self.on_applied_query(from, era, cid, out),
                Msg::LeadershipRequest { candidate, epoch, asked } => {
                    self.on_ask_leadership(now, from, (candidate, epoch, asked), out)
                }
                Msg::LeadershipVote { voter, epoch, granted } => {
                    self.on_leadership_vote(voter, epoch, granted)
                }
                Msg::Synced(saved) if from == self.env.addr => self.disk.synced(now, saved),
                Msg::SlowDisk(member_id) => self.disk.on_slow(now, member_id),
                Msg::Got { id, feed, got } => self.on_acknowledgement(now, id, feed, got, out),
                Msg::Sub(s) if self.consensus.is_none() => self.redirect_subscriber(from, &s, out),
                Msg::Sub(s) => self.on_subscription(now, from, *s, out),
                Msg::Membership(era, members) => self.on_membership(era, members),
                Msg::Found(birth) => self.on_found(now, birth, out),
                Msg::Call(request, call) => self.on_call(now, from, request, *call, out),
                Msg::Filled { id, roll } => self.on_filled(id, roll),
                _ => self.count("stray"),
            },
        }
        self.answer_calls(first_output, out);
    }
}
