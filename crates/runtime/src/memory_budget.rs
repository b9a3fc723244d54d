//! Memory budget for the request and response bodies in progress in the whole process.
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A budget in bytes. Invariant: the sum of all live reservations is at most `limit`.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Mutex<usize>,
    freed: Condvar,
}

/// Bytes reserved from a budget; returned to it when dropped.
#[derive(Debug)]
pub struct MemoryReservation(Arc<MemoryBudget>, usize);

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limit, reserved: Mutex::new(0), freed: Condvar::new() })
    }

    /// Reserves `n` bytes, waiting up to `wait` for others to be returned.
    fn acquire(&self, n: usize, wait: Duration) -> bool {
        let deadline = Instant::now() + wait;
        let mut reserved = self.reserved.lock().expect("no thread panics with it");
        while *reserved + n > self.limit {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || n > self.limit {
                return false;
            }
            reserved = self.freed.wait_timeout(reserved, left).expect("no thread panics with it").0;
        }
        *reserved += n;
        true
    }

    /// Reserves `n` bytes, waiting up to `wait` for others to be returned. None if there are not
    /// enough by then, or if `n` exceeds the whole budget.
    pub fn reserve(self: &Arc<MemoryBudget>, n: usize, wait: Duration) -> Option<MemoryReservation> {
        self.acquire(n, wait).then(|| MemoryReservation(self.clone(), n))
    }
}

impl MemoryReservation {
    /// Grows the reservation to at least `n` bytes in total, waiting up to `wait`. On failure it
    /// is unchanged and false is returned.
    pub fn grow_to(&mut self, n: usize, wait: Duration) -> bool {
        let more = n.saturating_sub(self.1);
        let grown = more == 0 || self.0.acquire(more, wait);
        self.1 += if grown { more } else { 0 };
        grown
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        *self.0.reserved.lock().expect("no thread panics with it") -= self.1;
        self.0.freed.notify_all();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn given_an_exhausted_budget_then_reservations_fail_until_one_is_dropped() {
        let (budget, no_wait) = (MemoryBudget::new(100), Duration::ZERO);
        let first = budget.reserve(60, no_wait).expect("there is memory");
        let mut second = budget.reserve(30, no_wait).expect("there is memory");
        assert!(
            !second.grow_to(41, no_wait)
                && second.grow_to(40, no_wait)
                && budget.reserve(1, no_wait).is_none()
        );
        drop(first);
        assert!(budget.reserve(60, no_wait).is_some() && budget.reserve(101, no_wait).is_none());
    }
}
