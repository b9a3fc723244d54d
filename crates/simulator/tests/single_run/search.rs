//! The search, level by level.
use crate::model::{Act, Fences, State};
use std::collections::HashSet;
use std::thread;

const THREADS: usize = 4;

/// What a search found.
pub struct Found {
    pub states: usize,
    /// The shortest way to a second run.
    pub twice: Option<Vec<Act>>,
}

type Way = (State, Vec<Act>);

/// Every state one act further that was not met yet, with its print.
fn further(ways: &[Way], seen: &HashSet<u64>, f: Fences) -> Vec<(Way, u64)> {
    let (mut all, mut met) = (vec![], HashSet::new());
    for (s, way) in ways {
        for a in s.acts() {
            let next = s.act(&a, f);
            let print = next.print();
            if !seen.contains(&print) && met.insert(print) {
                let way = way.iter().cloned().chain([a]).collect();
                all.push(((next, way), print));
            }
        }
    }
    all
}

/// All states within so many acts of this one.
pub fn search(from: &State, depth: usize, f: Fences) -> Found {
    let mut seen = HashSet::from([from.print()]);
    let mut edge: Vec<Way> = vec![(from.clone(), vec![])];
    for _ in 0..depth {
        let parts: Vec<&[Way]> = edge.chunks(edge.len().div_ceil(THREADS).max(1)).collect();
        let met = &seen;
        let grown: Vec<(Way, u64)> = thread::scope(|t| {
            let all: Vec<_> = parts.into_iter().map(|p| t.spawn(move || further(p, met, f))).collect();
            all.into_iter().flat_map(|h| h.join().expect("a part that panics fails the search")).collect()
        });
        if let Some(((_, way), _)) = grown.iter().find(|((s, _), _)| s.ran_twice()) {
            return Found { states: seen.len(), twice: Some(way.clone()) };
        }
        edge = grown.into_iter().filter(|(_, p)| seen.insert(*p)).map(|(w, _)| w).collect();
    }
    Found { states: seen.len(), twice: None }
}
