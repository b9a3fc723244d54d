//! Checks that all nodes deliver the commands of a key in one order, none twice, and lose none.
use super::*;

impl Sim {
    /// Checks and records that node `i` delivers `cmd`.
    pub(super) fn on_delivered(&mut self, i: usize, cmd: Cmd) {
        if cmd.id == 0 {
            return;
        }
        if !self.nodes[i].delivered.insert(cmd.id) {
            self.problems.push(format!("{i} delivered {} twice", cmd.id));
        }
        if let Some((_, proposed_at)) = self.proposals.get(&cmd.id).filter(|(proposer, _)| *proposer == i) {
            let latency = self.now - *proposed_at;
            self.latencies.entry(cmd.id).or_insert(latency);
        }
        for key in &cmd.keys {
            let order = self.nodes[i].order.entry(*key).or_default();
            order.push(cmd.id);
            let index = order.len() - 1;
            let common_order = self.order.entry(*key).or_default();
            if common_order.len() == index {
                common_order.push(cmd.id);
            } else if common_order[index] != cmd.id {
                self.problems.push(format!(
                    "key {key}, index {index}: {i} has {}, others {}",
                    cmd.id, common_order[index]
                ));
            }
        }
    }

    /// Sums of the counters of all running nodes.
    pub fn tally(&self) -> Tally {
        let mut total = Tally::default();
        for machine in self.nodes.iter().filter_map(|node| node.machine.as_ref()) {
            total.proposed += machine.tally.proposed;
            total.fast += machine.tally.fast;
            total.slow += machine.tally.slow;
            total.retried += machine.tally.retried;
            total.recovered += machine.tally.recovered;
            total.nacked += machine.tally.nacked;
            total.sent += machine.tally.sent;
        }
        total
    }

    /// Checks that each node has delivered every command that any node delivered or that was
    /// acknowledged to its proposer.
    pub fn check_complete(&mut self) {
        let all: BTreeSet<u64> = self.nodes.iter().flat_map(|node| node.delivered.iter().copied()).collect();
        let acknowledged: BTreeSet<u64> = self.latencies.keys().copied().collect();
        for i in 0..self.nodes.len() {
            let missing: Vec<u64> = all
                .union(&acknowledged)
                .filter(|id| !self.nodes[i].delivered.contains(id))
                .copied()
                .collect();
            if !missing.is_empty() {
                self.problems.push(format!("{i} lacks {missing:?}"));
            }
        }
    }
}
