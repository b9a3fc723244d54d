//! Memory for bodies and answers in hand, counted for the whole process.
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Invariant: what is taken and not yet given back is at most `most`.
#[derive(Debug)]
pub struct MemoryBudget {
    most: usize,
    taken: Mutex<usize>,
    freed: Condvar,
}

/// Given back when dropped.
#[derive(Debug)]
pub struct MemoryReservation(Arc<MemoryBudget>, usize);

impl MemoryBudget {
    pub fn new(most: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { most, taken: Mutex::new(0), freed: Condvar::new() })
    }

    fn add(&self, n: usize, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        let mut t = self.taken.lock().expect("no thread panics with it");
        while *t + n > self.most {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || n > self.most {
                return false;
            }
            t = self.freed.wait_timeout(t, left).expect("no thread panics with it").0;
        }
        *t += n;
        true
    }

    /// Waits at most so long for others to give back.
    pub fn take(self: &Arc<MemoryBudget>, n: usize, wait: Duration) -> Option<MemoryReservation> {
        self.add(n, wait).then(|| MemoryReservation(self.clone(), n))
    }
}

impl MemoryReservation {
    /// Makes it at least so large.
    pub fn reach(&mut self, n: usize, wait: Duration) -> bool {
        let more = n.saturating_sub(self.1);
        let ok = more == 0 || self.0.add(more, wait);
        self.1 += if ok { more } else { 0 };
        ok
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        *self.0.taken.lock().expect("no thread panics with it") -= self.1;
        self.0.freed.notify_all();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn given_a_full_room_then_nobody_gets_in_until_somebody_leaves() {
        let (r, no) = (MemoryBudget::new(100), Duration::ZERO);
        let a = r.take(60, no).expect("there is room");
        let mut b = r.take(30, no).expect("there is room");
        assert!(!b.reach(41, no) && b.reach(40, no) && r.take(1, no).is_none());
        drop(a);
        assert!(r.take(60, no).is_some() && r.take(101, no).is_none());
    }
}
