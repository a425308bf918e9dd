use super::*;

#[test]
fn no_more_than_the_capacity_is_taken_at_once_and_the_rate_refills_it() {
    let mut bucket = TokenBucket::new(1_000.0, 10.0);
    assert!(!bucket.take(0.0, 11) && bucket.take(0.0, 10) && !bucket.take(0.0, 1));
    assert!(!bucket.take(3.0, 4) && bucket.take(3.0, 3));
    assert!(!bucket.take(60_000.0, 11) && bucket.take(60_000.0, 10));
}

#[test]
fn a_clock_that_runs_backwards_refills_nothing() {
    let mut bucket = TokenBucket::new(1_000.0, 10.0);
    assert!(bucket.take(1_000.0, 10) && !bucket.take(500.0, 1));
}
