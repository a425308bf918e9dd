//! The random numbers of a simulated fleet: results are repeatable only while the draws of a seed stay the
//! same.

use magpiewell_fleet::random::number;

#[test]
fn the_draws_of_a_seed_are_fixed() {
    assert_eq!(number(5, &[1, 2, 3]), 509_334_991_330_530_573);
    assert_eq!(number(5, &[]), 7_134_611_160_154_358_618);
}
